//! Runs one stand-in as a process, to try the whole path on one machine.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use cicada_lib::ids::Name;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use getopts::Matches;
use getopts::Options;
use testutils::engine::EngineServer;
use testutils::engine::EngineSettings;
use testutils::engine_core::CoreSettings;
use testutils::output_length::OutputLengths;
use testutils::platform::PlatformServer;
use testutils::platform::PlatformSettings;
use testutils::proxy::FaultProxy;
use testutils::proxy_admin::ProxyAdmin;
use testutils::service::ServiceServer;
use testutils::service::ServiceSettings;
use testutils::weight_store::WeightStore;

const USAGE: &str = "\
Usage: cicada-standin KIND [OPTIONS]

Kinds: engine, service, platform, weights, proxy.
`cicada-standin KIND --help` lists the options of each. The protocols are in docs/standins.md.";

#[tokio::main]
async fn main() -> Result<()> {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let Some((kind, rest)) = args.split_first() else {
        bail!("{USAGE}");
    };
    match kind.as_str() {
        "engine" => run_engine(rest).await,
        "service" => run_service(rest).await,
        "platform" => run_platform(rest).await,
        "weights" => run_weights(rest).await,
        "proxy" => run_proxy(rest).await,
        "-h" | "--help" => {
            println!("{USAGE}");
            Ok(())
        }
        other => bail!("no such kind: {other}\n\n{USAGE}"),
    }
}

async fn run_engine(args: &[String]) -> Result<()> {
    let mut flags = Flags::new("engine", 8001);
    flags.value("step", "MICROS", "time of a step with an empty batch");
    flags.value(
        "per-sequence",
        "MICROS",
        "time that a generation adds to a step",
    );
    flags.value("prefill", "MICROS", "time to compute a token of a prompt");
    flags.value("capacity", "TOKENS", "tokens that fit in memory");
    flags.value("max-batch", "N", "largest batch");
    flags.value("median", "TOKENS", "median output length");
    flags.value(
        "spread",
        "SIGMA",
        "standard deviation of the length's logarithm",
    );
    flags.value("longest", "TOKENS", "longest output that is drawn");
    flags.value("cache", "BLOCKS", "blocks in the prefix cache");
    flags.value("cache-lag", "MS", "how late cache events are");
    flags.value("cache-gaps", "PART", "part of cache events that are lost");
    flags.value("keep", "MS", "how long tokens are kept after the end");
    flags.value("load-lag", "MS", "how late load reports are");
    flags.value("model-load", "MS", "time to load a model");
    flags.value("restart", "MS", "time from death to the next start");
    flags.value("seed", "N", "seed of the output lengths");
    flags.many(
        "model",
        "NAME",
        "a model or adapter that is loaded; may be given again",
    );
    flags.value("weights", "ADDR", "the weight store");
    flags.flag("ignore-fence", "take orders under old fencing numbers");
    let Some(given) = flags.parse(args)? else {
        return Ok(());
    };
    let server = EngineServer::start(engine_settings(&given)?)?;
    wait(server.addr()).await
}

fn engine_settings(given: &Given) -> Result<EngineSettings> {
    let usual = EngineSettings::new();
    let core = usual.core;
    let models = given.0.opt_strs("model");
    Ok(EngineSettings {
        listen: given.listen()?,
        core: CoreSettings {
            step: given.micros("step", core.step)?,
            per_sequence: given.micros("per-sequence", core.per_sequence)?,
            prefill: given.micros("prefill", core.prefill)?,
            capacity: given.value("capacity", core.capacity)?,
            max_batch: given.value("max-batch", core.max_batch)?,
            lengths: OutputLengths {
                median: given.value("median", core.lengths.median)?,
                spread: given.value("spread", core.lengths.spread)?,
                longest: given.value("longest", core.lengths.longest)?,
                seed: given.value("seed", core.lengths.seed)?,
            },
            cache_blocks: given.value("cache", core.cache_blocks)?,
            cache_lag: given.millis("cache-lag", core.cache_lag)?,
            cache_gaps: given.value("cache-gaps", core.cache_gaps)?,
            keep: given.millis("keep", core.keep)?,
        },
        models: if models.is_empty() {
            usual.models
        } else {
            models.iter().map(Name::new).collect()
        },
        load_lag: given.millis("load-lag", usual.load_lag)?,
        fencing: !given.0.opt_present("ignore-fence"),
        model_load: given.millis("model-load", usual.model_load)?,
        weights: given.parsed("weights")?,
        restart: given.millis("restart", usual.restart)?,
    })
}

async fn run_service(args: &[String]) -> Result<()> {
    let mut flags = Flags::new("service", 8002);
    flags.value("time", "MS", "time that a call takes");
    flags.value("workers", "N", "calls that run at once; 0 for no bound");
    flags.value("restart", "MS", "time from death to the next start");
    flags.value("seed", "N", "seed of the lost answers");
    let Some(given) = flags.parse(args)? else {
        return Ok(());
    };
    let usual = ServiceSettings::new();
    let server = ServiceServer::start(ServiceSettings {
        listen: given.listen()?,
        service_time: given.millis("time", usual.service_time)?,
        workers: given.value("workers", usual.workers)?,
        restart: given.millis("restart", usual.restart)?,
        seed: given.value("seed", usual.seed)?,
    })?;
    wait(server.addr()).await
}

async fn run_platform(args: &[String]) -> Result<()> {
    let mut flags = Flags::new("platform", 8000);
    flags.value("token", "TEXT", "the bearer token that it asks for");
    flags.value("writes", "RATE", "writes a second");
    flags.value("reads", "RATE", "reads a second");
    flags.value("latency", "MS", "time that a call takes");
    flags.value("host-lag", "MS", "how late the list of hosts is");
    flags.value("seed", "N", "seed of the lost answers");
    let Some(given) = flags.parse(args)? else {
        return Ok(());
    };
    let usual = PlatformSettings::new();
    let server = PlatformServer::start(PlatformSettings {
        listen: given.listen()?,
        token: given.value("token", usual.token)?,
        write_rate: given.value("writes", usual.write_rate)?,
        read_rate: given.value("reads", usual.read_rate)?,
        latency: given.millis("latency", usual.latency)?,
        host_lag: given.millis("host-lag", usual.host_lag)?,
        seed: given.value("seed", usual.seed)?,
    })?;
    wait(server.addr()).await
}

async fn run_weights(args: &[String]) -> Result<()> {
    let mut flags = Flags::new("weights", 8003);
    flags.value("rate", "RATE", "loads a second");
    let Some(given) = flags.parse(args)? else {
        return Ok(());
    };
    let server = WeightStore::start(given.listen()?, given.value("rate", 1.0)?)?;
    wait(server.addr()).await
}

async fn run_proxy(args: &[String]) -> Result<()> {
    let mut flags = Flags::new("proxy", 8010);
    flags.many(
        "link",
        "ADDR=ADDR",
        "listens at the first address and connects to the second; may be given again",
    );
    flags.value("seed", "N", "seed of the jitter");
    let Some(given) = flags.parse(args)? else {
        return Ok(());
    };
    let seed = given.value("seed", 1)?;
    let mut links = Vec::new();
    for link in given.0.opt_strs("link") {
        let (listen, target) = link
            .split_once('=')
            .ok_or_else(|| eyre!("--link {link}: write it as ADDR=ADDR"))?;
        let proxy = FaultProxy::start(listen.parse()?, target.parse()?, seed)?;
        println!("link {} from {} to {target}", links.len(), proxy.addr());
        links.push(proxy);
    }
    let admin = ProxyAdmin::start(given.listen()?, links)?;
    wait(admin.addr()).await
}

/// Says where the stand-in listens, and waits until the process is asked to end.
async fn wait(addr: SocketAddr) -> Result<()> {
    println!("listening on {addr}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// The options of a kind.
struct Flags {
    kind: &'static str,
    port: u16,
    options: Options,
}

impl Flags {
    fn new(kind: &'static str, port: u16) -> Self {
        let mut options = Options::new();
        options.optflag("h", "help", "show this help");
        options.optopt("", "listen", "where it listens", "ADDR");
        Flags {
            kind,
            port,
            options,
        }
    }

    fn value(&mut self, name: &str, hint: &str, text: &str) {
        self.options.optopt("", name, text, hint);
    }

    fn many(&mut self, name: &str, hint: &str, text: &str) {
        self.options.optmulti("", name, text, hint);
    }

    fn flag(&mut self, name: &str, text: &str) {
        self.options.optflag("", name, text);
    }

    /// The options given; `None` where the help was asked for and shown.
    fn parse(self, args: &[String]) -> Result<Option<Given>> {
        let given = self
            .options
            .parse(args)
            .wrap_err_with(|| format!("see cicada-standin {} --help", self.kind))?;
        if given.opt_present("help") {
            let brief = format!(
                "Usage: cicada-standin {} [OPTIONS]\nListens on 127.0.0.1:{} if not told otherwise.",
                self.kind, self.port
            );
            print!("{}", self.options.usage(&brief));
            return Ok(None);
        }
        Ok(Some(Given(given, self.port)))
    }
}

/// The options given on the command line, and the usual port.
struct Given(Matches, u16);

impl Given {
    fn listen(&self) -> Result<SocketAddr> {
        self.value("listen", SocketAddr::from(([127, 0, 0, 1], self.1)))
    }

    fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>> {
        let Some(text) = self.0.opt_str(name) else {
            return Ok(None);
        };
        let value = text
            .parse()
            .map_err(|_| eyre!("--{name} {text}: not such a value; see --help"))?;
        Ok(Some(value))
    }

    fn value<T: FromStr>(&self, name: &str, usual: T) -> Result<T> {
        Ok(self.parsed(name)?.unwrap_or(usual))
    }

    fn millis(&self, name: &str, usual: Duration) -> Result<Duration> {
        let given = self.parsed(name)?;
        Ok(given.map_or(usual, Duration::from_millis))
    }

    fn micros(&self, name: &str, usual: Duration) -> Result<Duration> {
        let given = self.parsed(name)?;
        Ok(given.map_or(usual, Duration::from_micros))
    }
}
