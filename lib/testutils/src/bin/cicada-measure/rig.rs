//! Real processes before stand-ins, to be measured: the platform runs in this process, engines and
//! daemons in processes of their own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::config::KeyConfig;
use cicada_lib::config::OperatorConfig;
use cicada_lib::config::Rights;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::WorkspaceField;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::HostRole;
use cicada_lib::platform_http::HttpPlatform;
use cicada_lib::secrets::Secret;
use eyre::OptionExt;
use eyre::Result;
use eyre::bail;
use testutils::cluster::Process;
use testutils::cluster::Signal;
use testutils::cluster::free_addr;
use testutils::cluster::program;
use testutils::deployment::KEY;
use testutils::deployment::MODEL_SERVICE;
use testutils::deployment::WORKSPACE;
use testutils::http_call;
use testutils::platform::PlatformServer;
use testutils::platform::PlatformSettings;
use testutils::udp_proxy::UdpProxy;

use crate::proc_stat::Usage;
use crate::relay::Relay;

const TOKEN: &str = "platform-token";
const PEER_KEY: &str = "a key of at least thirty-two bytes for measurements";
const REGIONS: usize = 4;
const ZONES: usize = 10;

/// A daemon that is measured.
pub(crate) struct Daemon {
    /// Its process.
    pub(crate) process: Process,
    /// Where it tells its state.
    pub(crate) status: SocketAddr,
    /// Where it serves callers; the peer address for an agent.
    pub(crate) listen: SocketAddr,
    config: String,
}

impl Daemon {
    /// What it has used so far.
    pub(crate) fn usage(&self) -> Result<Usage> {
        Usage::read(self.process.pid())
    }

    /// A figure of its metrics page.
    pub(crate) async fn metric(&self, name: &str) -> Result<f64> {
        let page = http_call::get(self.status, "/metrics").await?;
        let text = String::from_utf8_lossy(page.body()).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        Ok(line.unwrap_or("0").trim().parse()?)
    }

    async fn version(&self) -> Result<u64> {
        let page = http_call::get(self.status, "/status").await?;
        let page: serde_json::Value = serde_json::from_slice(page.body())?;
        Ok(page["version"].as_u64().unwrap_or(0))
    }
}

/// What is measured.
pub(crate) struct Rig {
    /// The platform.
    pub(crate) platform: PlatformServer,
    /// The way from entries to the platform.
    pub(crate) entry_relay: Relay,
    /// The way from agents to the platform.
    pub(crate) agent_relay: Relay,
    /// The way from entries to each agent.
    pub(crate) links: Vec<Relay>,
    /// The entries.
    pub(crate) entries: Vec<Daemon>,
    /// The agents.
    pub(crate) agents: Vec<Daemon>,
    /// The availability zones over which hosts are spread, 1 to 10.
    pub(crate) zones: usize,
    /// Whether a relay on each way to an agent counts bytes.
    pub(crate) count_links: bool,
    datagrams: Vec<UdpProxy>,
    held: Option<LoadedConfig>,
    dir: PathBuf,
    engines: Vec<Process>,
}

impl Rig {
    /// A platform with a configuration of so many workspaces, and nothing else yet.
    pub(crate) async fn start(workspaces: usize) -> Result<Self> {
        let usual = PlatformSettings::new().read_rate;
        Rig::with_reads(workspaces, usual).await
    }

    /// The same with a platform that takes so many reads a second.
    pub(crate) async fn with_reads(workspaces: usize, reads: f64) -> Result<Self> {
        let platform = PlatformServer::start(PlatformSettings {
            read_rate: reads,
            host_lag: Duration::from_millis(50),
            token: TOKEN.to_string(),
            ..PlatformSettings::new()
        })?;
        let dir = std::env::temp_dir().join(format!("cicada-measure-{}", fastrand::u64(..)));
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("peer-key"), PEER_KEY)?;
        std::fs::write(dir.join("token"), TOKEN)?;
        let mut rig = Rig {
            entry_relay: Relay::start(platform.addr()).await?,
            agent_relay: Relay::start(platform.addr()).await?,
            platform,
            links: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            zones: ZONES,
            count_links: false,
            datagrams: Vec::new(),
            held: None,
            dir,
            engines: Vec::new(),
        };
        rig.commit(&first_change(workspaces)).await?;
        Ok(rig)
    }

    /// Commits a change on top of the last one.
    pub(crate) async fn commit(&mut self, change: &Change) -> Result<u64> {
        let store = ConfigStore::new(std::sync::Arc::new(HttpPlatform::new(
            self.platform.addr(),
            TOKEN,
        )));
        let author = Name::new("measure");
        let done = store.commit(self.held.as_ref(), change, &author).await?;
        let version = done.loaded.version.0;
        self.held = Some(done.loaded);
        Ok(version)
    }

    /// Changes one workspace's share.
    pub(crate) async fn change(&mut self, share: u32) -> Result<u64> {
        let fields = vec![WorkspaceField::Share(share)];
        let name = Name::new(WORKSPACE);
        let change = Change::new(vec![Edit::Workspace(name, Action::Set(fields))]);
        self.commit(&change).await
    }

    /// Starts a stand-in engine in a process of its own, which takes a step in so many microseconds
    /// whatever its batch.
    pub(crate) async fn add_engine(&mut self, step_micros: u64) -> Result<SocketAddr> {
        let step = step_micros.to_string();
        let args = [
            "engine",
            "--listen",
            "127.0.0.1:0",
            "--step",
            &step,
            "--per-sequence",
            "0",
            "--prefill",
            "0",
            "--capacity",
            "1000000000",
            "--max-batch",
            "4096",
            "--longest",
            "1000000",
            "--keep",
            "1000",
        ];
        let mut process = Process::spawn_args(&program("cicada-standin")?, &args)?;
        let addr = process.wait_line("listening on ").await?.parse()?;
        self.engines.push(process);
        Ok(addr)
    }

    /// The processor time of an engine's stand-in.
    pub(crate) fn engine_usage(&self, place: usize) -> Result<Usage> {
        Usage::read(self.engines[place].pid())
    }

    /// Starts an agent before the engine at `engine`.
    pub(crate) async fn add_agent(&mut self, engine: SocketAddr) -> Result<()> {
        let place = self.agents.len();
        let peer = free_addr()?;
        let role = format!(
            "peer = {peer}\n[agent]\nmax_records = 100000\n[backend]\nkind = engine\n\
             service = {MODEL_SERVICE}\naddress = {engine}\nmax_batch = 4096\nmax_queued = 20000\n\
             max_wait = 600000\nsilent = 600000\n"
        );
        let name = format!("agent-{place}");
        let relay = self.agent_relay.addr;
        let daemon = self.spawn(&name, "agent", place, relay, peer, &role)?;
        let mut address = peer;
        if self.count_links {
            address = free_addr()?;
            let link = Relay::start_at(address, peer).await?;
            self.datagrams.push(UdpProxy::start(address, peer)?);
            self.links.push(link);
        }
        let record = host(
            &name,
            HostRole::Agent,
            address,
            daemon.status,
            place,
            self.zones,
        );
        self.platform.put_host(record);
        self.agents.push(daemon);
        Ok(())
    }

    /// Starts an entry.
    pub(crate) async fn add_entry(&mut self) -> Result<()> {
        let place = self.entries.len();
        let peer = free_addr()?;
        let listen = free_addr()?;
        let role = format!("peer = {peer}\n[entry]\nlisten = {listen}\n");
        let name = format!("entry-{place}");
        let relay = self.entry_relay.addr;
        let daemon = self.spawn(&name, "entry", place, relay, listen, &role)?;
        let record = host(
            &name,
            HostRole::Entry,
            peer,
            daemon.status,
            place,
            self.zones,
        );
        self.platform.put_host(record);
        self.entries.push(daemon);
        Ok(())
    }

    /// Puts hosts into the platform's list that have no process, until it has `count`.
    pub(crate) fn fill_hosts(&mut self, count: usize) {
        let held = self.entries.len() + self.agents.len();
        for place in held..count {
            let address = SocketAddr::from(([127, 0, 0, 1], 9));
            let name = format!("listed-{place}");
            let record = host(&name, HostRole::Agent, address, address, place, self.zones);
            self.platform.put_host(record);
        }
    }

    fn spawn(
        &self,
        name: &str,
        role: &str,
        place: usize,
        platform: SocketAddr,
        listen: SocketAddr,
        part: &str,
    ) -> Result<Daemon> {
        let status = free_addr()?;
        let (region, zone) = location(place, self.zones);
        let dir = self.dir.display();
        let config = format!(
            "[platform]\naddress = {platform}\ntoken_file = {dir}/token\n\
             [process]\nname = {name}\nrole = {role}\nregion = {region}\nzone = {zone}\n\
             status = {status}\npeer_key_file = {dir}/peer-key\n{part}"
        );
        let process = Process::spawn(&program("cicadad")?, &config)?;
        Ok(Daemon {
            process,
            status,
            listen,
            config,
        })
    }

    /// Every daemon.
    pub(crate) fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.entries.iter().chain(&self.agents)
    }

    /// How many daemons have a configuration in force.
    pub(crate) async fn configured(&self) -> usize {
        let mut count = 0;
        for daemon in self.daemons() {
            count += usize::from(daemon.version().await.unwrap_or(0) > 0);
        }
        count
    }

    /// Kills every daemon, then starts all of them again. The platform's list stays as it is.
    pub(crate) async fn restart_all(&mut self) -> Result<()> {
        let bin = program("cicadad")?;
        for daemon in self.entries.iter_mut().chain(&mut self.agents) {
            daemon.process.signal(Signal::Kill)?;
            daemon.process.wait_end(Duration::from_secs(5)).await?;
        }
        for daemon in self.entries.iter_mut().chain(&mut self.agents) {
            daemon.process = Process::spawn(&bin, &daemon.config)?;
        }
        Ok(())
    }

    /// How many daemons have ended.
    pub(crate) fn ended(&mut self) -> Result<usize> {
        let mut count = 0;
        for daemon in self.entries.iter_mut().chain(&mut self.agents) {
            count += usize::from(daemon.process.status()?.is_some());
        }
        Ok(count)
    }

    /// Waits until every daemon is ready.
    pub(crate) async fn wait_ready(&mut self) -> Result<()> {
        for daemon in self.entries.iter_mut().chain(&mut self.agents) {
            daemon.process.wait_ready(daemon.status).await?;
        }
        Ok(())
    }

    /// Waits until every daemon has a version in force.
    pub(crate) async fn wait_version(&self, version: u64) -> Result<Duration> {
        let start = Instant::now();
        for daemon in self.daemons() {
            while daemon.version().await.unwrap_or(0) < version {
                if start.elapsed() > Duration::from_secs(60) {
                    bail!("version {version} is not in force everywhere after a minute");
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(start.elapsed())
    }

    /// The first entry.
    pub(crate) fn entry(&self) -> Result<&Daemon> {
        self.entries.first().ok_or_eyre("there is no entry")
    }

    /// Tokens that the agents had from their engines.
    pub(crate) async fn tokens(&self) -> Result<f64> {
        let mut sum = 0.0;
        for agent in &self.agents {
            sum += agent.metric("cicada_tokens_total").await?;
        }
        Ok(sum)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn location(place: usize, zones: usize) -> (String, String) {
    let zone = place % zones;
    let region = zone % REGIONS;
    (format!("region-{region}"), format!("zone-{zone}"))
}

fn host(
    name: &str,
    role: HostRole,
    address: SocketAddr,
    status: SocketAddr,
    place: usize,
    zones: usize,
) -> HostRecord {
    let (region, zone) = location(place, zones);
    let service = match role {
        HostRole::Agent => MODEL_SERVICE,
        HostRole::Entry => "",
    };
    HostRecord {
        name: Name::new(name),
        role,
        address,
        status,
        service: Name::new(service),
        region: Name::new(region),
        zone: Name::new(zone),
        leaving: false,
    }
}

fn first_change(workspaces: usize) -> Change {
    let operator = OperatorConfig {
        token: Secret::new("operator-token").digest(),
        rights: Rights::Full,
    };
    let service = ServiceConfig::with_models([Name::new("model")]);
    let mut edits = vec![
        Edit::Operator(Name::new("measure"), Action::Create(operator)),
        Edit::Service(Name::new(MODEL_SERVICE), Action::Create(service)),
    ];
    for place in 0..workspaces {
        let (name, key) = match place {
            0 => (WORKSPACE.to_string(), KEY.to_string()),
            _ => (format!("workspace-{place:05}"), format!("key {place}")),
        };
        let workspace = Name::new(name);
        let config = WorkspaceConfig {
            max_queued: 100_000,
            ..WorkspaceConfig::default()
        };
        edits.push(Edit::Workspace(workspace.clone(), Action::Create(config)));
        let held = KeyConfig {
            workspace,
            label: Name::new("main"),
        };
        edits.push(Edit::Key(Secret::new(&key).digest(), Action::Create(held)));
    }
    Change::new(edits)
}
