//! `cicada`, the operators' command-line tool.
//!
//! It reads and writes the configuration in the platform's store, and asks processes for their state.
//! docs/operators.md describes its language, tables and exit codes.

mod args;
mod cmd_change;
mod cmd_collect;
mod cmd_explain;
mod cmd_help;
mod cmd_log_tables;
mod cmd_show;
mod error;
mod log_lines;
mod log_tables;
mod output;
mod script;
mod session;
mod settings;
mod status;
mod tables;

use std::process::ExitCode;

use crate::args::Args;
use crate::error::Error;
use crate::error::Result;
use crate::session::Session;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match run(&words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", error.report());
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(words: &[String]) -> Result<()> {
    let args = args::parse(words)?;
    match args {
        Args::Text(text) => {
            println!("{text}");
            Ok(())
        }
        Args::LogTables(args) => cmd_log_tables::run(&args),
        Args::Run(run) => {
            let settings = settings::read(&run)?;
            let source = script::source(&run)?;
            let steps = script::steps(&source)?;
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(Error::Runtime)?;
            let mut session = Session::new(settings, *run)?;
            runtime.block_on(script::run(&mut session, &source, steps))
        }
    }
}
