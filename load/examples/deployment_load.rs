//! Sends a load through a whole deployment on the loopback, of real daemons before stand-ins, and puts
//! one fault in force at a third of the time.
//!
//! Entries of one region carry the load; those of the others only take part in membership. So a delay
//! before each agent of another region is what a link between regions adds.
//!
//! `cargo build --release --workspace --example deployment_load`, then
//! `target/release/examples/deployment_load --deployment hanshan --rate 40 --json a.json`

use std::str::FromStr;
use std::time::Duration;

use cicada_load::plan::Kind;
use cicada_load::plan::Plan;
use cicada_load::plan::Tenant;
use cicada_load::report::Report;
use cicada_load::run::run;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use getopts::Matches;
use getopts::Options;
use serde::Serialize;
use testutils::cluster::Signal;
use testutils::deployment::Daemon;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::deployment::KEY;
use testutils::deployment::OTHER_KEY;
use testutils::deployment::OTHER_WORKSPACE;
use testutils::deployment::PLAIN_SERVICE;
use testutils::deployment::WORKSPACE;
use testutils::engine::EngineSettings;
use testutils::platform::PlatformFaults;
use testutils::proxy::FlowFaults;
use testutils::proxy::LinkFaults;

/// Entries at places 0 and 3 are in the first region, as are hosts at places 0, 3, 6 and so on.
const ENTRIES: usize = 4;
const REGIONS: usize = 3;
const SERVICES: usize = 3;

/// One way between regions, in milliseconds, by the users' figures.
const REGION_DELAY: u64 = 30;

/// An engine's batch. With it a step takes 5 ms + 8 * 0.25 ms = 7 ms, so that an engine gives at most
/// 1,143 tokens a second, and twelve of them keep the machine less than half busy.
const BATCH: u32 = 8;
const STEP: Duration = Duration::from_millis(5);
const PER_SEQUENCE: Duration = Duration::from_micros(250);

/// The longest graceful end that is waited for.
const DRAIN: Duration = Duration::from_secs(60);

/// A host that died comes back after this time.
const AWAY: Duration = Duration::from_secs(1);
const OUTAGE: Duration = Duration::from_secs(10);

/// The sizes of one firm's deployment.
#[derive(Clone, Copy, Debug)]
struct Size {
    mix: &'static str,
    engines: usize,
    /// Tokens of an engine's memory: a fifth more than a full batch holds on average.
    memory: u64,
    objective: &'static str,
}

const HANSHAN: Size = Size {
    mix: "hanshan",
    engines: 12,
    memory: 6_144,
    objective: "stall",
};

const SARYARKA: Size = Size {
    mix: "saryarka",
    engines: 9,
    memory: 9_216,
    objective: "gap",
};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Calm,
    EngineKill,
    AgentKill,
    AgentTerm,
    EntryTerm,
    LinkSilent,
    PlatformOutage,
}

impl FromStr for Fault {
    type Err = eyre::Report;

    fn from_str(name: &str) -> Result<Self> {
        Ok(match name {
            "none" => Fault::Calm,
            "engine-kill" => Fault::EngineKill,
            "agent-kill" => Fault::AgentKill,
            "agent-term" => Fault::AgentTerm,
            "entry-term" => Fault::EntryTerm,
            "link-silent" => Fault::LinkSilent,
            "platform-outage" => Fault::PlatformOutage,
            _ => bail!(
                "--fault is none, engine-kill, agent-kill, agent-term, entry-term, link-silent or \
                 platform-outage"
            ),
        })
    }
}

/// What a run gave, as JSON.
#[derive(Serialize)]
struct Outcome {
    fault: String,
    /// Tokens a second that all engines can give.
    capacity: f64,
    /// Tokens a second that they gave between a third and the end of the arrivals, without a fault.
    given: Option<f64>,
    /// Displacements by the engines' own records.
    displaced: u64,
    report: Report,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = options().parse(&args)?;
    let size = match text(&matches, "deployment", "hanshan").as_str() {
        "hanshan" => HANSHAN,
        "saryarka" => SARYARKA,
        _ => bail!("--deployment is hanshan or saryarka"),
    };
    let name = text(&matches, "fault", "none");
    let fault: Fault = name.parse()?;
    let mut plan = Plan::mix(size.mix)?;
    plan.rate = text(&matches, "rate", "40").parse().wrap_err("--rate")?;
    plan.seed = text(&matches, "seed", "1").parse().wrap_err("--seed")?;
    let seconds = text(&matches, "seconds", "20");
    plan.length = Duration::from_secs(seconds.parse().wrap_err("--seconds")?);
    let capacity = capacity(size);
    let per_request: f64 = plan.kinds.iter().map(mean_tokens).sum();
    eprintln!(
        "load: {capacity:.0} tokens/s, {per_request:.0} a request: full at {:.1} requests/s",
        capacity / per_request
    );
    let extra = extra(size, matches.opt_present("admit-all"));
    let mut deployment = start(size, &extra).await?;
    aim(&mut plan, &deployment);
    let command = format!("deployment_load {}", args.join(" "));
    let length = plan.length;
    let load = run(plan, command, |line| eprintln!("load: {line}"));
    let (report, given) = tokio::join!(load, disturb(&mut deployment, fault, length));
    let outcome = Outcome {
        fault: name,
        capacity,
        given: given?,
        displaced: displaced(&deployment),
        report,
    };
    print!("{}", outcome.report.table());
    println!(
        "tokens/s given: {:?}, displaced {}",
        outcome.given, outcome.displaced
    );
    if let Some(path) = matches.opt_str("json") {
        std::fs::write(path, serde_json::to_string(&outcome)?)?;
    }
    Ok(())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "deployment", "hanshan (default) or saryarka", "NAME");
    options.optopt("", "rate", "requests a second", "N");
    options.optopt("", "seconds", "how long requests arrive", "N");
    options.optopt("", "seed", "seed of everything drawn", "N");
    options.optopt("", "fault", "what fails at a third of the time", "NAME");
    options.optopt("", "json", "write the outcome as JSON", "FILE");
    options.optflag("", "admit-all", "bounds of admission at their largest");
    options
}

fn text(matches: &Matches, name: &str, default: &str) -> String {
    matches.opt_str(name).unwrap_or(default.to_string())
}

/// Tokens a second of all engines with full batches.
fn capacity(size: Size) -> f64 {
    let step = STEP + PER_SEQUENCE * BATCH;
    size.engines as f64 * f64::from(BATCH) / step.as_secs_f64()
}

/// A kind's part of the mean number of tokens a request. Each doubling of a length is as likely.
fn mean_tokens(kind: &Kind) -> f64 {
    let least = f64::from(kind.tokens.least);
    let most = f64::from(kind.tokens.most);
    if most <= least {
        return kind.weight * least;
    }
    kind.weight * (most - least) / (most / least).ln()
}

/// Settings of the daemons. To admit all, an agent's batch is eight of the engine's, so that the
/// engine itself queues and displaces; the agent still plans for memory.
fn extra(size: Size, admit_all: bool) -> String {
    let backend = format!("[backend]\nobjective = {}\n", size.objective);
    if admit_all {
        let batch = BATCH * 8;
        return format!(
            "{backend}max_batch = {batch}\nmax_queued = 100000\nmax_wait = 600000\n\
             [entry]\nattempts = 1\n"
        );
    }
    format!("{backend}max_batch = {BATCH}\n")
}

async fn start(size: Size, extra: &str) -> Result<Deployment> {
    let mut engine = EngineSettings::new();
    engine.core.step = STEP;
    engine.core.per_sequence = PER_SEQUENCE;
    engine.core.max_batch = BATCH as usize;
    engine.core.capacity = size.memory;
    let mut settings = DeploymentSettings::new(0, SERVICES, ENTRIES).with_extra(extra);
    settings.engines = vec![engine; size.engines];
    let deployment = Deployment::start(settings).await?;
    let engines = deployment.engines.iter().map(|host| &host.front);
    let services = deployment.services.iter().map(|host| &host.front);
    for fronts in [engines.collect::<Vec<_>>(), services.collect()] {
        let remote = fronts.iter().enumerate().filter(|(i, _)| i % REGIONS != 0);
        for (_, front) in remote {
            front.set(region_delay()).await?;
        }
    }
    Ok(deployment)
}

fn region_delay() -> LinkFaults {
    let flow = FlowFaults {
        delay: REGION_DELAY,
        ..FlowFaults::default()
    };
    LinkFaults {
        forward: flow.clone(),
        backward: flow,
        ..LinkFaults::default()
    }
}

/// Points a plan at a deployment.
fn aim(plan: &mut Plan, deployment: &Deployment) {
    plan.tenants = vec![
        tenant(WORKSPACE, KEY, 3.0),
        tenant(OTHER_WORKSPACE, OTHER_KEY, 1.0),
    ];
    for kind in plan.kinds.iter_mut().filter(|kind| !kind.path.is_empty()) {
        kind.path = format!("/services/{PLAIN_SERVICE}/book");
    }
    let entries = deployment.entries.iter().step_by(REGIONS);
    plan.entries = entries.map(|entry| entry.listen).collect();
    let services = deployment.services.iter();
    plan.records = services.map(|host| host.service.addr()).collect();
}

fn tenant(name: &str, key: &str, weight: f64) -> Tenant {
    Tenant {
        name: name.to_string(),
        key: key.to_string(),
        weight,
    }
}

fn displaced(deployment: &Deployment) -> u64 {
    let records = deployment.engines.iter().map(|host| host.engine.record());
    let runs = records.flat_map(|record| record.runs);
    runs.map(|run| u64::from(run.preemptions)).sum()
}

/// Puts the fault in force at a third of the time; without one, measures what the engines give from
/// then on, in tokens a second.
async fn disturb(
    deployment: &mut Deployment,
    fault: Fault,
    length: Duration,
) -> Result<Option<f64>> {
    tokio::time::sleep(length / 3).await;
    match fault {
        Fault::Calm => return Ok(Some(given(deployment, length * 2 / 3).await)),
        Fault::EngineKill => deployment.engines[0].engine.kill().await,
        Fault::AgentKill => {
            let agent = &mut deployment.engines[0].agent;
            agent.process.signal(Signal::Kill)?;
            agent.process.wait_end(DRAIN).await?;
            tokio::time::sleep(AWAY).await;
            Deployment::restart(agent).await?;
        }
        Fault::AgentTerm => replace(&mut deployment.engines[0].agent).await?,
        Fault::EntryTerm => replace(&mut deployment.entries[REGIONS]).await?,
        Fault::LinkSilent => deployment.engines[1].front.silence(),
        Fault::PlatformOutage => {
            let outage = PlatformFaults {
                outage: true,
                ..PlatformFaults::default()
            };
            deployment.platform.set_faults(outage);
            tokio::time::sleep(OUTAGE).await;
            deployment.platform.set_faults(PlatformFaults::default());
        }
    }
    Ok(None)
}

/// Ends a daemon gracefully, and starts it again.
async fn replace(daemon: &mut Daemon) -> Result<()> {
    daemon.process.signal(Signal::Term)?;
    daemon.process.wait_end(DRAIN).await?;
    Deployment::restart(daemon).await
}

async fn given(deployment: &Deployment, time: Duration) -> f64 {
    let before = tokens(deployment);
    tokio::time::sleep(time).await;
    tokens(deployment).saturating_sub(before) as f64 / time.as_secs_f64()
}

fn tokens(deployment: &Deployment) -> u64 {
    let records = deployment.engines.iter().map(|host| host.engine.record());
    let runs = records.flat_map(|record| record.runs);
    runs.map(|run| u64::from(run.output_tokens)).sum()
}
