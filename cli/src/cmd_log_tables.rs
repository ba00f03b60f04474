//! `log-tables`: what prompts placed at engines did to the streams there, from relays' logs.

use std::fs::File;
use std::io;
use std::io::BufReader;

use serde_json::json;

use crate::args::LogTablesArgs;
use crate::error::Error;
use crate::error::Result;
use crate::log_lines;
use crate::log_lines::StreamLine;
use crate::log_tables;
use crate::output::print_json;
use crate::output::print_line;
use crate::output::print_table;
use crate::output::rows;

/// Prints the two tables.
pub(crate) fn run(args: &LogTablesArgs) -> Result<()> {
    let tables = log_tables::make(&lines(args)?);
    if args.json {
        print_json(&json!({
            "first_event": rows(&tables.first_event),
            "longest_gap": rows(&tables.longest_gap),
        }));
        return Ok(());
    }
    print_line("Time to the first event in ms, by prefill queued ahead at placement in ms:");
    print_table(&tables.first_event, false);
    print_line("\nLongest gap in ms, by prompts placed at the run's engine meanwhile:");
    print_table(&tables.longest_gap, false);
    Ok(())
}

fn lines(args: &LogTablesArgs) -> Result<Vec<StreamLine>> {
    let Some(path) = &args.file else {
        return log_lines::read("standard input", io::stdin().lock());
    };
    let name = path.display().to_string();
    let file = File::open(path).map_err(|error| Error::File(name.clone(), error))?;
    log_lines::read(&name, BufReader::new(file))
}
