//! A whole deployment on one machine: a platform, engines and plain services as stand-ins, and real
//! agents and entries as processes, with a fault proxy on each way between them.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use cicada_lib::config::KeyConfig;
use cicada_lib::config::OperatorConfig;
use cicada_lib::config::Rights;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::HostRole;
use cicada_lib::platform::Platform;
use cicada_lib::platform_http::HttpPlatform;
use cicada_lib::secrets::Secret;
use eyre::Result;

use crate::caller::Caller;
use crate::cluster::Process;
use crate::cluster::free_addr;
use crate::cluster::program;
use crate::engine::EngineServer;
use crate::engine::EngineSettings;
use crate::platform::PlatformServer;
use crate::platform::PlatformSettings;
use crate::proxy::FaultProxy;
use crate::service::ServiceServer;
use crate::service::ServiceSettings;
use crate::udp_proxy::UdpProxy;

/// The service of model engines.
pub const MODEL_SERVICE: &str = "language";

/// The plain service, whose `POST /book` is not idempotent.
pub const PLAIN_SERVICE: &str = "booking";

/// The workspace of [`KEY`].
pub const WORKSPACE: &str = "families";

/// The key of the first workspace's callers.
pub const KEY: &str = "families-key";

/// The workspace of [`OTHER_KEY`].
pub const OTHER_WORKSPACE: &str = "partners";

/// The key of the second workspace's callers.
pub const OTHER_KEY: &str = "partners-key";

/// An operator with full rights.
pub const OPERATOR: &str = "deployment";

/// The token of [`OPERATOR`].
pub const OPERATOR_TOKEN: &str = "operator-token";

const TOKEN: &str = "platform-token";
const PEER_KEY: &str = "a key of at least thirty-two bytes for tests";
const REGIONS: [&str; 3] = ["north", "central", "south"];

/// What a deployment is made of.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// The platform.
    pub platform: PlatformSettings,
    /// One engine for each, with an agent.
    pub engines: Vec<EngineSettings>,
    /// One plain service for each, with an agent.
    pub services: Vec<ServiceSettings>,
    /// The number of entries.
    pub entries: usize,
    /// More lines for every daemon's settings, as `[section]` blocks.
    pub extra: String,
}

impl DeploymentSettings {
    /// So many engines, plain services and entries, spread over three regions.
    pub fn new(engines: usize, services: usize, entries: usize) -> Self {
        let platform = PlatformSettings {
            host_lag: std::time::Duration::from_millis(200),
            token: TOKEN.to_string(),
            ..PlatformSettings::new()
        };
        DeploymentSettings {
            platform,
            engines: vec![EngineSettings::new(); engines],
            services: vec![ServiceSettings::new(); services],
            entries,
            extra: String::new(),
        }
    }

    /// Adds lines to every daemon's settings.
    pub fn with_extra(mut self, extra: &str) -> Self {
        self.extra = extra.to_string();
        self
    }
}

/// A daemon of the deployment.
#[derive(Debug)]
pub struct Daemon {
    /// The host's name.
    pub name: String,
    /// The process.
    pub process: Process,
    /// Where its state is read.
    pub status: SocketAddr,
    /// Where callers are served; the status address for an agent.
    pub listen: SocketAddr,
    /// Its settings, to start it again.
    pub config: String,
}

/// An engine with its agent.
pub struct EngineHost {
    /// The stand-in.
    pub engine: EngineServer,
    /// The agent.
    pub agent: Daemon,
    /// The way from entries to the agent.
    pub front: Arc<FaultProxy>,
    /// The way of datagrams to the agent.
    pub datagrams: UdpProxy,
    /// The way from the agent to the engine.
    pub back: Arc<FaultProxy>,
}

/// A plain service with its agent.
pub struct ServiceHost {
    /// The stand-in.
    pub service: ServiceServer,
    /// The agent.
    pub agent: Daemon,
    /// The way from entries to the agent.
    pub front: Arc<FaultProxy>,
    /// The way of datagrams to the agent.
    pub datagrams: UdpProxy,
    /// The way from the agent to the service.
    pub back: Arc<FaultProxy>,
}

/// A running deployment. Its processes end when it is dropped.
pub struct Deployment {
    /// The platform.
    pub platform: PlatformServer,
    /// The engines.
    pub engines: Vec<EngineHost>,
    /// The plain services.
    pub services: Vec<ServiceHost>,
    /// The entries.
    pub entries: Vec<Daemon>,
    files: Files,
    extra: String,
}

impl Deployment {
    /// Starts everything, and waits until every process is ready.
    pub async fn start(settings: DeploymentSettings) -> Result<Self> {
        let platform = PlatformServer::start(settings.platform)?;
        let mut deployment = Deployment {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            files: Files::new()?,
            extra: settings.extra,
        };
        deployment.commit(first_change()).await?;
        for engine in settings.engines {
            deployment.add_engine(engine).await?;
        }
        for service in settings.services {
            deployment.add_service(service).await?;
        }
        for _ in 0..settings.entries {
            deployment.add_entry().await?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// The first workspace's caller at an entry.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].listen, KEY)
    }

    /// The second workspace's caller at an entry.
    pub fn other_caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].listen, OTHER_KEY)
    }

    /// A connection to the platform, as an operator's.
    pub fn store(&self) -> Arc<dyn Platform> {
        Arc::new(HttpPlatform::new(self.platform.addr(), TOKEN))
    }

    /// Commits a change of the configuration.
    pub async fn commit(&self, change: Change) -> Result<()> {
        let store = ConfigStore::new(self.store());
        let base = store.load().await?;
        store
            .commit(base.as_ref(), &change, &Name::new(OPERATOR))
            .await?;
        Ok(())
    }

    /// Adds an engine with its agent.
    pub async fn add_engine(&mut self, settings: EngineSettings) -> Result<()> {
        let engine = EngineServer::start(settings)?;
        let place = self.engines.len();
        let back = proxy(engine.addr())?;
        let name = format!("engine-{place}");
        let backend = format!(
            "[backend]\nkind = engine\nservice = {MODEL_SERVICE}\naddress = {}\npoll = 50\n",
            back.addr()
        );
        let (agent, front, datagrams) = self.add_agent(&name, place, MODEL_SERVICE, &backend)?;
        self.engines.push(EngineHost {
            engine,
            agent,
            front,
            datagrams,
            back,
        });
        Ok(())
    }

    /// Adds a plain service with its agent.
    pub async fn add_service(&mut self, settings: ServiceSettings) -> Result<()> {
        let service = ServiceServer::start(settings)?;
        let place = self.services.len();
        let back = proxy(service.addr())?;
        let name = format!("service-{place}");
        let backend = format!(
            "[backend]\nkind = service\nservice = {PLAIN_SERVICE}\naddress = {}\npoll = 50\n",
            back.addr()
        );
        let (agent, front, datagrams) = self.add_agent(&name, place, PLAIN_SERVICE, &backend)?;
        self.services.push(ServiceHost {
            service,
            agent,
            front,
            datagrams,
            back,
        });
        Ok(())
    }

    /// Adds an entry.
    pub async fn add_entry(&mut self) -> Result<()> {
        let place = self.entries.len();
        let name = format!("entry-{place}");
        let listen = free_addr()?;
        let peer = free_addr()?;
        let role = format!("[entry]\nlisten = {listen}\n");
        let entry = self.spawn(&name, "entry", place, peer, listen, &role)?;
        let record = host(&name, HostRole::Entry, peer, entry.status, "", place);
        self.platform.put_host(record);
        self.entries.push(entry);
        Ok(())
    }

    /// Starts a daemon again after its end, with the settings it had.
    pub async fn restart(daemon: &mut Daemon) -> Result<()> {
        daemon.process = Process::spawn(&program("cicadad")?, &daemon.config)?;
        daemon.process.wait_ready(daemon.status).await
    }

    /// Waits until every daemon is ready.
    pub async fn wait_ready(&mut self) -> Result<()> {
        for host in &mut self.engines {
            host.agent.process.wait_ready(host.agent.status).await?;
        }
        for host in &mut self.services {
            host.agent.process.wait_ready(host.agent.status).await?;
        }
        for entry in &mut self.entries {
            entry.process.wait_ready(entry.status).await?;
        }
        Ok(())
    }

    fn add_agent(
        &mut self,
        name: &str,
        place: usize,
        service: &str,
        backend: &str,
    ) -> Result<(Daemon, Arc<FaultProxy>, UdpProxy)> {
        let peer = free_addr()?;
        let agent = self.spawn(name, "agent", place, peer, peer, backend)?;
        // On a port that is free for datagrams too.
        let front = FaultProxy::start(free_addr()?, peer, 1)?;
        let datagrams = UdpProxy::start(front.addr(), peer)?;
        let record = host(
            name,
            HostRole::Agent,
            front.addr(),
            agent.status,
            service,
            place,
        );
        self.platform.put_host(record);
        Ok((agent, front, datagrams))
    }

    fn spawn(
        &self,
        name: &str,
        role: &str,
        place: usize,
        peer: SocketAddr,
        listen: SocketAddr,
        part: &str,
    ) -> Result<Daemon> {
        let status = free_addr()?;
        let region = REGIONS[place % REGIONS.len()];
        let config = format!(
            "[process]\nname = {name}\nrole = {role}\nregion = {region}\nzone = {region}-a\n\
             peer = {peer}\nstatus = {status}\npeer_key_file = {}\n\
             [platform]\naddress = {}\ntoken_file = {}\nhosts_poll = 300\nconfig_wait = 1000\n{part}\n{}\n",
            self.files.peer_key.display(),
            self.platform.addr(),
            self.files.token.display(),
            self.extra,
        );
        let process = Process::spawn(&program("cicadad")?, &config)?;
        Ok(Daemon {
            name: name.to_string(),
            process,
            status,
            listen,
            config,
        })
    }
}

#[derive(Debug)]
struct Files {
    dir: PathBuf,
    peer_key: PathBuf,
    token: PathBuf,
}

impl Files {
    fn new() -> Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("cicada-deployment-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir)?;
        let peer_key = secret_file(&dir, "peer-key", PEER_KEY)?;
        let token = secret_file(&dir, "token", TOKEN)?;
        Ok(Files {
            dir,
            peer_key,
            token,
        })
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn secret_file(dir: &Path, name: &str, text: &str) -> Result<PathBuf> {
    let path = dir.join(name);
    std::fs::write(&path, text)?;
    Ok(path)
}

fn proxy(target: SocketAddr) -> Result<Arc<FaultProxy>> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(FaultProxy::start(listen, target, 1)?)
}

fn host(
    name: &str,
    role: HostRole,
    address: SocketAddr,
    status: SocketAddr,
    service: &str,
    place: usize,
) -> HostRecord {
    let region = REGIONS[place % REGIONS.len()];
    HostRecord {
        name: Name::new(name),
        role,
        address,
        status,
        service: Name::new(service),
        region: Name::new(region),
        zone: Name::new(format!("{region}-a")),
        leaving: false,
    }
}

fn first_change() -> Change {
    let model = ServiceConfig::with_models([Name::new("model")]);
    let mut edits = vec![
        Edit::Service(Name::new(MODEL_SERVICE), Action::Create(model)),
        Edit::Service(
            Name::new(PLAIN_SERVICE),
            Action::Create(ServiceConfig::plain()),
        ),
    ];
    let operator = OperatorConfig {
        token: Secret::new(OPERATOR_TOKEN).digest(),
        rights: Rights::Full,
    };
    edits.push(Edit::Operator(
        Name::new(OPERATOR),
        Action::Create(operator),
    ));
    for (workspace, key) in [(WORKSPACE, KEY), (OTHER_WORKSPACE, OTHER_KEY)] {
        let workspace = Name::new(workspace);
        let config = WorkspaceConfig::default();
        edits.push(Edit::Workspace(workspace.clone(), Action::Create(config)));
        let held = KeyConfig {
            workspace,
            label: Name::new("first"),
        };
        edits.push(Edit::Key(Secret::new(key).digest(), Action::Create(held)));
    }
    Change::new(edits)
}
