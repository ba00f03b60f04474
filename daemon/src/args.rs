//! The daemon's command line.

use std::path::PathBuf;

use getopts::Options;

/// What the command line asks for.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Run with the settings of a file.
    Run(PathBuf),
    /// Check the settings of a file.
    Check(PathBuf),
    /// Print the settings of a file, defaults included.
    Print(PathBuf),
    /// Print text and end.
    Say(String),
}

/// Reads the arguments; the error is a message for the user.
pub(crate) fn parse(args: &[String]) -> Result<Command, String> {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file (INI)", "FILE");
    options.optflag("", "check-config", "check the settings file and end");
    options.optflag("", "print-config", "print every setting, defaults included");
    options.optflag("", "print-reference", "print docs/settings.md");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    let matches = options
        .parse(args)
        .map_err(|err| format!("{err}\nHint: see cicadad --help"))?;
    if matches.opt_present("help") {
        return Ok(Command::Say(help(&options)));
    }
    if matches.opt_present("version") {
        let version = concat!("cicadad ", env!("CARGO_PKG_VERSION"));
        return Ok(Command::Say(version.to_string()));
    }
    if matches.opt_present("print-reference") {
        let page = cicada_lib::daemon_settings::reference();
        return Ok(Command::Say(page.trim_end().to_string()));
    }
    if let Some(extra) = matches.free.first() {
        return Err(format!(
            "`{extra}` is no option\nHint: cicadad takes options only, see cicadad --help"
        ));
    }
    let Some(file) = matches.opt_str("config") else {
        return Err("no settings file is given\nHint: cicadad --config FILE".to_string());
    };
    let file = PathBuf::from(file);
    if matches.opt_present("check-config") {
        Ok(Command::Check(file))
    } else if matches.opt_present("print-config") {
        Ok(Command::Print(file))
    } else {
        Ok(Command::Run(file))
    }
}

fn help(options: &Options) -> String {
    let brief = "Usage: cicadad --config FILE\n\n\
        Serves callers (role entry) or one backend server (role agent).\n\
        The first SIGTERM or SIGINT drains; a second one stops by force.\n\
        Exit codes: 0 ended, 1 failed, 2 wrong arguments or settings.";
    options.usage(brief).trim_end().to_string()
}
