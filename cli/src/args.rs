//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use cicada_lib::ids::Version;
use getopts::Matches;
use getopts::Options;

use crate::error::Error;
use crate::error::Result;

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum Args {
    /// Print a text and end.
    Text(String),
    /// Print tables from relays' logs.
    LogTables(LogTablesArgs),
    /// Run statements.
    Run(Box<Run>),
}

/// What `log-tables` reads and prints.
#[derive(Debug)]
pub(crate) struct LogTablesArgs {
    /// The file; `None` for standard input.
    pub(crate) file: Option<PathBuf>,
    /// Whether to print JSON.
    pub(crate) json: bool,
}

/// How statements are run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Run {
    /// The settings file.
    pub(crate) config: Option<PathBuf>,
    /// Settings given as flags: section, key and value. They override the file's.
    pub(crate) flags: Vec<Flag>,
    /// The file of statements.
    pub(crate) file: Option<PathBuf>,
    /// The statements as words; empty where they come from a file or standard input.
    pub(crate) words: Vec<String>,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Whether to change nothing.
    pub(crate) dry_run: bool,
    /// How long to wait until a change is in force.
    pub(crate) wait: Option<Duration>,
    /// The version that a change must be based on.
    pub(crate) base: Option<Version>,
    /// The version that a change's own must be above.
    pub(crate) above: Version,
}

/// A setting given as a flag.
#[derive(Clone, Debug)]
pub(crate) struct Flag {
    /// The section.
    pub(crate) section: &'static str,
    /// The key.
    pub(crate) key: &'static str,
    /// The value.
    pub(crate) value: String,
}

// The command that reads a log and needs no platform.
const LOG_TABLES: &str = "log-tables";

// A flag and the setting that it overrides.
const SETTING_FLAGS: [(&str, &str, &str); 5] = [
    ("platform", "platform", "address"),
    ("platform-token-file", "platform", "token_file"),
    ("operator", "operator", "name"),
    ("token-file", "operator", "token_file"),
    ("status-timeout", "status", "timeout"),
];

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file (INI)", "FILE");
    options.optopt("", "platform", "address of the platform", "IP:PORT");
    options.optopt(
        "",
        "platform-token-file",
        "file with the platform's token",
        "FILE",
    );
    options.optopt("", "operator", "your name as operator", "NAME");
    options.optopt("", "token-file", "file with your token", "FILE");
    options.optopt("", "status-timeout", "wait for each process's state", "MS");
    options.optopt("f", "file", "run the statements in the file", "FILE");
    options.optflag("", "json", "print JSON, a line for each statement");
    options.optflag("", "dry-run", "work changes out, and change nothing");
    options.optopt("", "wait", "wait until changes are in force", "SECS");
    options.optopt(
        "",
        "base",
        "refuse if this is not the newest version",
        "VERSION",
    );
    let above = "make the new version larger than this one, after a restore of the store";
    options.optopt("", "above", above, "VERSION");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

/// Reads the command line.
pub(crate) fn parse(words: &[String]) -> Result<Args> {
    let options = options();
    let matches = options
        .parse(words)
        .map_err(|error| Error::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Args::Text(help(&options)));
    }
    if matches.opt_present("version") {
        return Ok(Args::Text(format!("cicada {}", env!("CARGO_PKG_VERSION"))));
    }
    if matches.opt_present("file") && !matches.free.is_empty() {
        let text = "statements are given twice, by --file and as words";
        return Err(Error::Usage(text.to_owned()));
    }
    if matches.free.first().is_some_and(|word| word == LOG_TABLES) {
        return log_tables(&matches);
    }
    Ok(Args::Run(Box::new(Run {
        config: matches.opt_str("config").map(PathBuf::from),
        flags: flags(&matches),
        file: matches.opt_str("file").map(PathBuf::from),
        json: matches.opt_present("json"),
        dry_run: matches.opt_present("dry-run"),
        wait: number(&matches, "wait")?.map(Duration::from_secs),
        base: number(&matches, "base")?.map(Version),
        above: Version(number(&matches, "above")?.unwrap_or(0)),
        words: matches.free,
    })))
}

fn log_tables(matches: &Matches) -> Result<Args> {
    let file = match &matches.free[1..] {
        [] => None,
        [file] => Some(PathBuf::from(file)),
        _ => {
            let text = format!("{LOG_TABLES} takes one file; join several with `cat`");
            return Err(Error::Usage(text));
        }
    };
    Ok(Args::LogTables(LogTablesArgs {
        file,
        json: matches.opt_present("json"),
    }))
}

fn flags(matches: &Matches) -> Vec<Flag> {
    let flag = |(name, section, key): &(&str, &'static str, &'static str)| {
        let value = matches.opt_str(name)?;
        Some(Flag {
            section,
            key,
            value,
        })
    };
    SETTING_FLAGS.iter().filter_map(flag).collect()
}

fn number(matches: &Matches, name: &str) -> Result<Option<u64>> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let wrong = |_| Error::Usage(format!("--{name} takes a whole number, not '{text}'"));
    text.parse().map(Some).map_err(wrong)
}

fn help(options: &Options) -> String {
    let brief = "Usage: cicada [OPTIONS] STATEMENT...\n       \
        cicada [--json] log-tables [FILE]\n\n\
        Runs statements given as words, in a file (-f), or on standard input.\n\
        `cicada help` lists the statements. `log-tables` reads relays' logs in JSON and prints\n\
        the time to the first event and the longest gap by what engines had to prefill.";
    let codes = "\nExit codes: 0 done, 1 internal, 2 arguments or settings, 3 statement, \
        4 not valid,\n5 somebody was first, 6 platform, nothing changed, 7 not known whether it \
        changed,\n8 not permitted, 9 committed but not yet everywhere, 10 configuration unusable";
    options.usage(brief) + codes
}
