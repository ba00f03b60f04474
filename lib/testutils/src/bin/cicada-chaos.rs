//! Runs a whole deployment under a seeded schedule of faults, and tells which promises were broken.

use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use eyre::Result;
use eyre::eyre;
use getopts::Matches;
use getopts::Options;
use testutils::chaos::ChaosSettings;
use testutils::chaos::run;

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: cicada-chaos [OPTIONS]"));
        return Ok(ExitCode::SUCCESS);
    }
    let settings = settings(&matches)?;
    println!("seed {}", settings.seed);
    println!("again: {}", command(&settings));
    let verdict = run(&settings, true).await?;
    for end in &verdict.ends {
        println!("{end}");
    }
    for broken in &verdict.broken {
        println!("{broken}");
    }
    if verdict.broken.is_empty() {
        println!("seed {}: every promise was kept", settings.seed);
        return Ok(ExitCode::SUCCESS);
    }
    let count = verdict.broken.len();
    println!("seed {}: {count} broken promises", settings.seed);
    Ok(ExitCode::FAILURE)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "seed",
        "of faults and callers; any without it",
        "NUMBER",
    );
    options.optopt("", "seconds", "with faults", "NUMBER");
    options.optopt("", "engines", "of the deployment", "NUMBER");
    options.optopt("", "services", "of the deployment", "NUMBER");
    options.optopt("", "entries", "of the deployment", "NUMBER");
    options.optflag("h", "help", "print this");
    options
}

fn settings(matches: &Matches) -> Result<ChaosSettings> {
    let seed = number(matches, "seed", u64::from(fastrand::u32(..)))?;
    let usual = ChaosSettings::new(seed);
    let seconds = number(matches, "seconds", usual.length.as_secs())?;
    Ok(ChaosSettings {
        length: Duration::from_secs(seconds),
        engines: number(matches, "engines", usual.engines)?,
        services: number(matches, "services", usual.services)?,
        entries: number(matches, "entries", usual.entries)?,
        ..usual
    })
}

fn number<T: FromStr>(matches: &Matches, name: &str, usual: T) -> Result<T> {
    match matches.opt_str(name) {
        Some(text) => {
            let parsed = text.parse();
            parsed.map_err(|_| eyre!("--{name} takes a number, not {text:?}"))
        }
        None => Ok(usual),
    }
}

/// The command that runs the same schedule again.
fn command(settings: &ChaosSettings) -> String {
    format!(
        "cargo run --locked --bin cicada-chaos -- --seed {} --seconds {} --engines {} \
         --services {} --entries {}",
        settings.seed,
        settings.length.as_secs(),
        settings.engines,
        settings.services,
        settings.entries
    )
}
