//! A run of a whole deployment under a seeded schedule of faults, with callers that check what they
//! are promised. It judges promises only: never speed, and never how many requests succeed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::config_store::ConfigStore;
use eyre::Result;
use eyre::ensure;
use eyre::eyre;
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::caller::Caller;
use crate::chaos_callers::Booking;
use crate::chaos_callers::Word;
use crate::chaos_callers::call_until_over;
use crate::chaos_faults::FaultDriver;
use crate::chaos_faults::schedule;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::deployment::KEY;
use crate::http_call;

// Links that notice a silence soon, so that a short run sees many faults through to their end.
const FAST_LINKS: &str = "[link]\nheartbeat = 100\nsilent = 400\nconnect_time = 400\n\
    [agent]\nlinger = 3000\n[entry]\nresume_window = 5000\n[drain]\nnotice = 300\n";

// Enough to have several requests of each kind under way at every fault.
const CALLERS: u64 = 12;

// A version that went back for a moment is seen by one of these looks.
const LOOK: Duration = Duration::from_millis(100);

// A process that is paused does not answer; the next look comes in time.
const LOOK_TIME: Duration = Duration::from_secs(2);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct ChaosSettings {
    /// Seeds the schedule of faults and the callers.
    pub seed: u64,
    /// How long faults are brought about.
    pub length: Duration,
    /// How long after the last fault everything must be well again.
    pub quiet: Duration,
    /// The number of engines.
    pub engines: usize,
    /// The number of plain services.
    pub services: usize,
    /// The number of entries.
    pub entries: usize,
}

impl ChaosSettings {
    /// Twenty seconds of faults for three engines, two plain services and three entries.
    pub fn new(seed: u64) -> Self {
        ChaosSettings {
            seed,
            length: Duration::from_secs(20),
            quiet: Duration::from_secs(10),
            engines: 3,
            services: 2,
            entries: 3,
        }
    }
}

/// What a run did and found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Each fault with its time since the start.
    pub faults: Vec<String>,
    /// Each promise that was broken, with what shows it.
    pub broken: Vec<String>,
    /// How many requests ended in each way, by kind and end.
    pub ends: Vec<String>,
}

/// What all tasks of a run share.
pub(crate) struct Shared {
    start: Instant,
    print: bool,
    over: AtomicBool,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    verdict: Verdict,
    bookings: Vec<Booking>,
    ends: HashMap<String, u64>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Whether callers begin nothing new.
    pub(crate) fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Notes a fault.
    pub(crate) fn fault(&self, text: &str) {
        let line = self.line(text);
        self.state().verdict.faults.push(line);
    }

    /// Notes a broken promise.
    pub(crate) fn broken(&self, text: &str) {
        let line = self.line(&format!("BROKEN: {text}"));
        self.state().verdict.broken.push(line);
    }

    /// Notes how a request ended.
    pub(crate) fn end(&self, kind: &str) {
        *self.state().ends.entry(kind.to_string()).or_default() += 1;
    }

    /// Keeps a booking to be compared with what took effect.
    pub(crate) fn book(&self, booking: Booking) {
        self.state().bookings.push(booking);
    }

    fn line(&self, text: &str) -> String {
        let line = format!("{:7.3} s  {text}", self.start.elapsed().as_secs_f64());
        if self.print {
            println!("{line}");
        }
        line
    }
}

/// Runs a deployment under faults; with `print`, each fault is printed as it happens.
pub async fn run(settings: &ChaosSettings, print: bool) -> Result<Verdict> {
    ensure!(
        settings.engines > 0 && settings.services > 0 && settings.entries > 0,
        "a run needs at least one engine, one plain service and one entry"
    );
    let parts = DeploymentSettings::new(settings.engines, settings.services, settings.entries);
    let deployment = Deployment::start(parts.with_extra(FAST_LINKS)).await?;
    let shared = Arc::new(Shared {
        start: Instant::now(),
        print,
        over: AtomicBool::new(false),
        state: Mutex::default(),
    });
    let watchers = watch_versions(&deployment, &shared);
    let entries: Vec<SocketAddr> = deployment
        .entries
        .iter()
        .map(|entry| entry.listen)
        .collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let entries = entries.clone();
            tokio::spawn(call_until_over(
                shared.clone(),
                entries,
                settings.seed,
                number,
            ))
        })
        .collect();

    let steps = schedule(settings);
    let mut driver = FaultDriver::new(deployment, shared.clone());
    driver.drive(&steps, settings.length).await?;
    shared.fault("the faults are over");
    shared.over.store(true, Ordering::Relaxed);
    check_recovery(driver.deployment(), settings, &shared).await;
    for caller in callers {
        caller.await?;
    }
    for watcher in watchers {
        watcher.abort();
    }
    check_bookings(driver.deployment(), &shared);
    Ok(finish(&shared))
}

fn finish(shared: &Shared) -> Verdict {
    let state = shared.state();
    let mut verdict = state.verdict.clone();
    verdict.ends = state
        .ends
        .iter()
        .map(|(kind, count)| format!("{kind}: {count}"))
        .collect();
    verdict.ends.sort();
    verdict
}

fn statuses(deployment: &Deployment) -> Vec<(String, SocketAddr)> {
    let engines = deployment.engines.iter().map(|host| &host.agent);
    let services = deployment.services.iter().map(|host| &host.agent);
    let daemons = engines.chain(services).chain(&deployment.entries);
    daemons
        .map(|daemon| (daemon.name.clone(), daemon.status))
        .collect()
}

#[derive(Clone, Copy, Debug)]
struct Told {
    incarnation: u64,
    version: u64,
}

async fn told(status: SocketAddr) -> Option<Told> {
    let answer = timeout(LOOK_TIME, http_call::get(status, "/status")).await;
    let page: Value = serde_json::from_slice(answer.ok()?.ok()?.body()).ok()?;
    Some(Told {
        incarnation: page["incarnation"].as_u64()?,
        version: page["version"].as_u64()?,
    })
}

/// One task for each process: its version never goes back while it lives.
fn watch_versions(deployment: &Deployment, shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let watch = |(name, status)| tokio::spawn(watch_version(name, status, shared.clone()));
    statuses(deployment).into_iter().map(watch).collect()
}

async fn watch_version(name: String, status: SocketAddr, shared: Arc<Shared>) {
    let mut last: Option<Told> = None;
    loop {
        sleep(LOOK).await;
        let Some(now) = told(status).await else {
            continue;
        };
        if let Some(last) = last
            && last.incarnation == now.incarnation
            && now.version < last.version
        {
            shared.broken(&format!("{name} went back: {last:?}, then {now:?}"));
        }
        last = Some(now);
    }
}

/// After the faults: the newest version everywhere, and every entry serves.
async fn check_recovery(deployment: &Deployment, settings: &ChaosSettings, shared: &Shared) {
    let end = Instant::now() + settings.quiet;
    for (name, status) in statuses(deployment) {
        let mut found = at_newest(deployment, status).await;
        while found.is_err() && Instant::now() < end {
            sleep(LOOK).await;
            found = at_newest(deployment, status).await;
        }
        if let Err(error) = found {
            shared.broken(&format!("{name} after the faults: {error}"));
        }
    }
    for (place, entry) in deployment.entries.iter().enumerate() {
        let caller = Caller::new(entry.listen, KEY);
        let mut found = serves(&caller, settings.seed, place).await;
        while found.is_err() && Instant::now() < end {
            sleep(LOOK).await;
            found = serves(&caller, settings.seed, place).await;
        }
        if let Err(error) = found {
            shared.broken(&format!("{} after the faults: {error}", entry.name));
        }
    }
}

async fn at_newest(deployment: &Deployment, status: SocketAddr) -> Result<()> {
    let store = ConfigStore::new(deployment.store());
    let newest = store.root().await?.ok_or_else(|| eyre!("no root"))?;
    let newest = newest.root.version;
    let told = told(status).await.ok_or_else(|| eyre!("no status"))?;
    ensure!(
        told.version == newest.0,
        "it is at version {} of {}",
        told.version,
        newest.0
    );
    Ok(())
}

async fn serves(caller: &Caller, seed: u64, place: usize) -> Result<()> {
    let prompt = format!("after the faults {seed} {place} len=20");
    let heard = caller.stream(&prompt).await?.hear().await;
    ensure!(
        heard.done && heard.check(&prompt)? == 20,
        "a new stream: {heard:?}"
    );
    let path = "/services/booking/book";
    let answer = caller.send("POST", path, &[], "{\"id\":\"after\"}").await?;
    ensure!(
        answer.status().is_success(),
        "a new booking: {} {:?}",
        answer.status(),
        answer.body()
    );
    Ok(())
}

/// Compares what the callers were told with what took effect.
fn check_bookings(deployment: &Deployment, shared: &Shared) {
    let mut effects: HashMap<String, usize> = HashMap::new();
    for host in &deployment.services {
        for effect in host.service.effects() {
            *effects.entry(effect.body).or_default() += 1;
        }
    }
    let bookings = std::mem::take(&mut shared.state().bookings);
    for booking in bookings {
        let count = effects.get(&booking.body).copied().unwrap_or_default();
        let kept = match booking.words.last() {
            Some(Word::Served | Word::Ran) => count == 1,
            // "Not run" speaks of its own sending (docs/callers.md): after an earlier one whose outcome
            // was open, that earlier one may have taken effect.
            Some(Word::NotRun) => count == 0 || (count == 1 && booking.was_open()),
            Some(Word::Unknown | Word::Broken) | None => count <= 1,
        };
        if !kept {
            shared.broken(&format!("{count} effects: {booking:?}"));
        }
    }
}
