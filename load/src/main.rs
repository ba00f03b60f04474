//! The program `cicada-load`.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cicada_load::compare::compare;
use cicada_load::plan::Plan;
use cicada_load::report::Report;
use cicada_load::run::run;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use getopts::Matches;
use getopts::Options;

const BRIEF: &str = "\
cicada-load [OPTIONS]               send a load and check every answer
cicada-load compare A.json B.json   the figures of B over those of A

Exit code 0: all promises held; 1: one was broken; 2: the command or settings are wrong.";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let outcome = match args.first().map(String::as_str) {
        Some("compare") => compare_files(&args[1..]),
        _ => load(&args),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("load: {error:#}");
        ExitCode::from(2)
    })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "settings, see docs/load-tool.md", "FILE");
    options.optopt("m", "mix", "hanshan (default) or saryarka", "NAME");
    options.optmulti("e", "entry", "an entry; may be given again", "IP:PORT");
    options.optmulti("", "record", "a plain service's stand-in", "IP:PORT");
    options.optopt("", "seed", "seed of everything drawn", "N");
    options.optopt("", "rate", "requests a second", "N");
    options.optopt("", "seconds", "how long requests arrive", "N");
    options.optopt("o", "output", "write the report as JSON", "FILE");
    options.optflag("q", "quiet", "no progress");
    options.optflag("h", "help", "this text");
    options.optflag("", "version", "the version");
    options
}

fn load(args: &[String]) -> Result<ExitCode> {
    let options = options();
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return Ok(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("cicada-load {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    let plan = read_plan(&matches)?;
    plan.check()?;
    let quiet = matches.opt_present("quiet");
    let command = format!("cicada-load {}", args.join(" "));
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(run(plan, command, |line| {
        if !quiet {
            eprintln!("load: {line}");
        }
    }));
    print!("{}", report.table());
    if let Some(path) = matches.opt_str("output") {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(&path, text).wrap_err(path)?;
    }
    Ok(match report.broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    })
}

fn read_plan(matches: &Matches) -> Result<Plan> {
    let mix = matches.opt_str("mix");
    let mut plan = match matches.opt_str("config") {
        Some(path) => Plan::read(Path::new(&path), mix.as_deref())?,
        None => Plan::mix(mix.as_deref().unwrap_or("hanshan"))?,
    };
    for entry in matches.opt_strs("entry") {
        plan.entries
            .push(entry.parse().wrap_err("--entry needs IP:PORT")?);
    }
    for record in matches.opt_strs("record") {
        plan.records
            .push(record.parse().wrap_err("--record needs IP:PORT")?);
    }
    if let Some(seed) = matches.opt_get("seed")? {
        plan.seed = seed;
    }
    if let Some(rate) = matches.opt_get::<f64>("rate")? {
        if !(0.001..=100_000.0).contains(&rate) {
            bail!("--rate must be from 0.001 to 100000");
        }
        plan.rate = rate;
    }
    if let Some(seconds) = matches.opt_get::<u64>("seconds")? {
        if seconds > 86_400 {
            bail!("--seconds must be at most 86400");
        }
        plan.length = Duration::from_secs(seconds);
    }
    Ok(plan)
}

fn compare_files(paths: &[String]) -> Result<ExitCode> {
    let [first, second] = paths else {
        bail!("compare needs two reports: cicada-load compare A.json B.json");
    };
    let first = read_report(first)?;
    let second = read_report(second)?;
    print!("{}", compare(&first, &second));
    Ok(match first.broken + second.broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    })
}

fn read_report(path: &str) -> Result<Report> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.to_string())?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{path} is no report"))
}
