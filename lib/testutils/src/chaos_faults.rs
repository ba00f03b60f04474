//! The faults of a run: a seeded schedule, and how each is brought about and undone.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::WorkspaceField;
use cicada_lib::ids::Name;
use eyre::Result;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::chaos::ChaosSettings;
use crate::chaos::Shared;
use crate::cluster::Process;
use crate::cluster::Signal;
use crate::cluster::program;
use crate::deployment::Daemon;
use crate::deployment::Deployment;
use crate::deployment::OTHER_WORKSPACE;
use crate::platform::PlatformFaults;
use crate::proxy::FaultProxy;
use crate::proxy::LinkFaults;
use crate::service::ServiceFaults;

// As long as a fault holds, in milliseconds: shorter and longer than links may be silent.
const HOLD: std::ops::RangeInclusive<u64> = 500..=4_000;

// The time between faults, in milliseconds: often too short to get over the last one.
const GAP: std::ops::RangeInclusive<u64> = 0..=1_500;

// A commit may wait for a platform that does not answer; the schedule goes on.
const COMMIT_TIME: Duration = Duration::from_secs(3);

// Longer than the longest stream and the time that it may be resumed for.
const LEAVE_TIME: Duration = Duration::from_secs(20);

/// A way between two processes that has a proxy.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// From entries to an agent.
    Front(usize),
    /// From an agent to its backend server.
    Back(usize),
}

/// A fault. Agents are numbered over engines and then plain services.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillAgent(usize),
    KillEntry(usize),
    StopAgent(usize),
    EndAgent(usize),
    EndEntry(usize),
    Silence(Way),
    Cut(Way),
    StallForward(Way),
    StallBackward(Way),
    Refuse(Way),
    BlockDatagrams(usize),
    EngineDies(usize),
    ServiceLoses(usize),
    ServiceRefuses(usize),
    PlatformOutage,
    PlatformSlow,
    PlatformLosesAnswers,
    PlatformDropsCalls,
    ChangeConfig(u32),
}

/// Faults that are brought about together, held, and undone.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    gap: Duration,
    hold: Duration,
    faults: Vec<Fault>,
}

/// The schedule of a seed: steps for the whole length; the last one is cut short.
pub(crate) fn schedule(settings: &ChaosSettings) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(settings.seed);
    let mut steps: Vec<Step> = Vec::new();
    let mut time = Duration::ZERO;
    while time < settings.length {
        let mut step = Step {
            gap: Duration::from_millis(rng.u64(GAP)),
            hold: Duration::from_millis(rng.u64(HOLD)),
            faults: Vec::new(),
        };
        // One in four comes twice: the second time may find what the first one left.
        match steps.last() {
            Some(last) if rng.u32(0..4) == 0 => step.faults = last.faults.clone(),
            _ => {
                let count = rng.usize(1..=3);
                step.faults = (0..count).map(|_| any_fault(&mut rng, settings)).collect();
            }
        }
        let rest = settings.length.saturating_sub(time + step.gap);
        step.hold = step.hold.min(rest);
        time += step.gap + step.hold;
        steps.push(step);
    }
    steps
}

fn any_fault(rng: &mut fastrand::Rng, settings: &ChaosSettings) -> Fault {
    let agent = rng.usize(..settings.engines + settings.services);
    let entry = rng.usize(..settings.entries);
    let service = rng.usize(..settings.services);
    let engine = rng.usize(..settings.engines);
    let way = match rng.bool() {
        true => Way::Front(agent),
        false => Way::Back(agent),
    };
    match rng.u32(0..19) {
        0 => Fault::KillAgent(agent),
        1 => Fault::KillEntry(entry),
        2 => Fault::StopAgent(agent),
        3 => Fault::EndAgent(agent),
        4 => Fault::EndEntry(entry),
        5 => Fault::Silence(way),
        6 => Fault::Cut(way),
        7 => Fault::StallForward(way),
        8 => Fault::StallBackward(way),
        9 => Fault::Refuse(way),
        10 => Fault::BlockDatagrams(agent),
        11 => Fault::EngineDies(engine),
        12 => Fault::ServiceLoses(service),
        13 => Fault::ServiceRefuses(service),
        14 => Fault::PlatformOutage,
        15 => Fault::PlatformSlow,
        16 => Fault::PlatformLosesAnswers,
        17 => Fault::PlatformDropsCalls,
        _ => Fault::ChangeConfig(rng.u32(1..100)),
    }
}

/// Brings the faults of a schedule about in a deployment.
pub(crate) struct FaultDriver {
    deployment: Deployment,
    shared: Arc<Shared>,
    platform: PlatformFaults,
}

impl FaultDriver {
    pub(crate) fn new(deployment: Deployment, shared: Arc<Shared>) -> Self {
        FaultDriver {
            deployment,
            shared,
            platform: PlatformFaults::default(),
        }
    }

    pub(crate) fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Brings the steps about until the time is over. All faults are undone when it returns.
    pub(crate) async fn drive(&mut self, steps: &[Step], length: Duration) -> Result<()> {
        let start = Instant::now();
        for step in steps {
            if start.elapsed() >= length {
                break;
            }
            sleep(step.gap).await;
            for fault in &step.faults {
                self.shared.fault(&format!("{fault:?}"));
                self.begin(*fault).await?;
            }
            sleep(step.hold).await;
            self.heal(&step.faults).await?;
            self.shared.fault("undone");
        }
        Ok(())
    }

    async fn begin(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::KillAgent(place) => end(self.agent(place), Signal::Kill).await?,
            Fault::KillEntry(place) => {
                end(&mut self.deployment.entries[place], Signal::Kill).await?;
            }
            Fault::StopAgent(place) => end(self.agent(place), Signal::Stop).await?,
            Fault::EndAgent(place) => end(self.agent(place), Signal::Term).await?,
            Fault::EndEntry(place) => {
                end(&mut self.deployment.entries[place], Signal::Term).await?;
            }
            Fault::Silence(way) => self.proxy(way).silence(),
            Fault::Cut(way) => self.proxy(way).cut().await,
            Fault::StallForward(way) => {
                let mut faults = LinkFaults::default();
                faults.forward.stalled = true;
                self.proxy(way).set(faults).await?;
            }
            Fault::StallBackward(way) => {
                let mut faults = LinkFaults::default();
                faults.backward.stalled = true;
                self.proxy(way).set(faults).await?;
            }
            Fault::Refuse(way) => self.refuse(way).await?,
            Fault::BlockDatagrams(place) => self.block(place, true),
            Fault::EngineDies(place) => self.deployment.engines[place].engine.kill().await,
            Fault::ServiceLoses(place) => self.service(place, 0.5, false),
            Fault::ServiceRefuses(place) => self.service(place, 0.0, true),
            Fault::ChangeConfig(share) => self.change(share).await,
            Fault::PlatformOutage => self.platform.outage = true,
            Fault::PlatformSlow => self.platform.slow = 400,
            Fault::PlatformLosesAnswers => self.platform.lost = 0.5,
            Fault::PlatformDropsCalls => self.platform.dropped = 0.5,
        }
        self.deployment.platform.set_faults(self.platform.clone());
        Ok(())
    }

    async fn heal(&mut self, faults: &[Fault]) -> Result<()> {
        self.platform = PlatformFaults::default();
        self.deployment.platform.set_faults(self.platform.clone());
        for place in 0..self.deployment.engines.len() + self.deployment.services.len() {
            for way in [Way::Front(place), Way::Back(place)] {
                self.proxy(way).set(LinkFaults::default()).await?;
            }
            self.block(place, false);
        }
        for host in &self.deployment.services {
            host.service.set_faults(ServiceFaults::default());
        }
        for fault in faults {
            if let Fault::StopAgent(place) = fault {
                end(self.agent(*place), Signal::Cont).await?;
            }
        }
        for fault in faults {
            match *fault {
                Fault::EndAgent(place) => left(self.agent(place)).await?,
                Fault::EndEntry(place) => left(&mut self.deployment.entries[place]).await?,
                _ => (),
            }
        }
        self.revive()
    }

    /// Starts every daemon again that has ended, as the platform does.
    fn revive(&mut self) -> Result<()> {
        let engines = self.deployment.engines.iter_mut();
        let services = self.deployment.services.iter_mut();
        let agents = engines
            .map(|host| &mut host.agent)
            .chain(services.map(|host| &mut host.agent));
        for daemon in agents.chain(&mut self.deployment.entries) {
            if let Some(status) = daemon.process.status()? {
                let name = &daemon.name;
                self.shared
                    .fault(&format!("{name} starts again ({status})"));
                daemon.process = Process::spawn(&program("cicadad")?, &daemon.config)?;
            }
        }
        Ok(())
    }

    fn agent(&mut self, place: usize) -> &mut Daemon {
        let engines = self.deployment.engines.len();
        match place.checked_sub(engines) {
            None => &mut self.deployment.engines[place].agent,
            Some(place) => &mut self.deployment.services[place].agent,
        }
    }

    fn proxy(&self, way: Way) -> &Arc<FaultProxy> {
        let (Way::Front(place) | Way::Back(place)) = way;
        let engines = self.deployment.engines.len();
        let (front, back) = match place.checked_sub(engines) {
            None => {
                let host = &self.deployment.engines[place];
                (&host.front, &host.back)
            }
            Some(place) => {
                let host = &self.deployment.services[place];
                (&host.front, &host.back)
            }
        };
        match way {
            Way::Front(_) => front,
            Way::Back(_) => back,
        }
    }

    async fn refuse(&self, way: Way) -> Result<()> {
        let faults = LinkFaults {
            refuse: true,
            ..LinkFaults::default()
        };
        self.proxy(way).set(faults).await?;
        self.proxy(way).cut().await;
        Ok(())
    }

    fn block(&self, place: usize, blocked: bool) {
        let engines = self.deployment.engines.len();
        match place.checked_sub(engines) {
            None => self.deployment.engines[place].datagrams.block(blocked),
            Some(place) => self.deployment.services[place].datagrams.block(blocked),
        }
    }

    fn service(&self, place: usize, lost: f64, refuse: bool) {
        let faults = ServiceFaults {
            lost,
            refuse,
            ..ServiceFaults::default()
        };
        self.deployment.services[place].service.set_faults(faults);
    }

    /// Changes the share of the workspace that nobody calls with. It may fail under other faults.
    async fn change(&self, share: u32) {
        let fields = vec![WorkspaceField::Share(share)];
        let workspace = Name::new(OTHER_WORKSPACE);
        let edit = Edit::Workspace(workspace, Action::Set(fields));
        let commit = self.deployment.commit(Change::new(vec![edit]));
        let text = match timeout(COMMIT_TIME, commit).await {
            Ok(Ok(())) => "the change is committed".to_string(),
            Ok(Err(error)) => format!("the change is refused: {error}"),
            Err(_) => "the change is in doubt".to_string(),
        };
        self.shared.fault(&text);
    }
}

/// Sends a signal to a daemon, if it still runs.
async fn end(daemon: &mut Daemon, signal: Signal) -> Result<()> {
    if daemon.process.status()?.is_some() {
        return Ok(());
    }
    daemon.process.signal(signal)?;
    if signal == Signal::Kill {
        daemon.process.wait_end(LEAVE_TIME).await?;
    }
    Ok(())
}

/// Waits for a daemon that was asked to end; one that does not is killed, as the platform would.
async fn left(daemon: &mut Daemon) -> Result<()> {
    if daemon.process.wait_end(LEAVE_TIME).await.is_err() {
        end(daemon, Signal::Kill).await?;
    }
    Ok(())
}
