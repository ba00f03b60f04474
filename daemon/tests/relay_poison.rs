//! Poison requests, under which backend servers crash, with relays run as processes and counted at the servers.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::caller::send_at_interval;
use cicada_standins::crashes::Crash;
use cicada_standins::crashes::CrashPlan;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::SLACK_SETTING;
use eyre::Result;
use http::StatusCode;
use testutils::cluster::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Servers in the relays' zone.
const SERVERS: [&str; 3] = ["a", "a", "a"];

/// Servers and relays in each zone.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// How long a server that crashed is down.
const DOWN: Duration = Duration::from_millis(900);

/// The same for servers that take long to start.
const LONG_DOWN: Duration = Duration::from_millis(3_200);

/// Interval between two poison requests, and between two requests of other callers.
const POISON_INTERVAL: Duration = Duration::from_millis(400);
const INTERVAL: Duration = Duration::from_millis(100);

/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// The most servers that one poison request may crash.
const MAX_CRASHES: usize = 3;

/// Restarts of all relays, and the time of each in which callers send copies.
const RESTARTS: usize = 4;
const RESTART_TIME: Duration = Duration::from_secs(3);

/// How long several poison requests are sent at once.
const SEVERAL_DURATION: Duration = Duration::from_secs(18);

/// Crashes after which requests are to be refused, the time until they are, and the sends that are tolerated afterwards.
const PROOF: usize = 3;
const PROOF_TIME: Duration = Duration::from_secs(5);
const MAX_LATE: usize = 3;

/// Time in which the relays know each other and, after a crash, what it proves.
const SPREAD_TIME: Duration = Duration::from_millis(1_500);

/// Time in which a relay that joins knows what the others know.
const KNOWN_TIME: Duration = Duration::from_secs(1);

/// Upper bound of a wait for a process. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// The request of other callers, and poison requests of each kind of route.
const OTHER: Sent = Sent {
    kind: Kind::Plain("GET"),
    path: "/slots/7",
};
const REPEATABLE: Sent = Sent {
    kind: Kind::Plain("GET"),
    path: "/slots/poison",
};
const ONCE: Sent = Sent {
    kind: Kind::Plain("POST"),
    path: "/deposits/poison",
};
const STREAM: Sent = Sent {
    kind: Kind::Stream,
    path: "/drafts/poison",
};
const RESUMABLE: Sent = Sent {
    kind: Kind::Stream,
    path: "/questions/poison",
};

/// What callers send.
#[derive(Clone, Copy, Debug)]
struct Sent {
    kind: Kind,
    path: &'static str,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Plain(&'static str),
    Stream,
}

impl Sent {
    fn ask(self, id: &str) -> Ask {
        match self.kind {
            Kind::Plain(method) => Ask::new(method, self.path, id, KEY),
            Kind::Stream => Ask::stream(id, KEY, 500, 40).with_path(self.path),
        }
    }

    /// Sends it to a relay under an identifier of its own.
    async fn send(self, relay: SocketAddr) -> Result<Heard> {
        let id = format!("r{}-{:x}", self.path.replace('/', "-"), fastrand::u64(..));
        self.ask(&id).send(relay).await
    }

    /// Sends it at an interval, to one relay after the other.
    async fn send_at_interval(
        self,
        relays: Vec<SocketAddr>,
        interval: Duration,
    ) -> Vec<Result<Heard>> {
        self.send_for(LOAD_DURATION, relays, interval).await
    }

    async fn send_for(
        self,
        duration: Duration,
        relays: Vec<SocketAddr>,
        interval: Duration,
    ) -> Vec<Result<Heard>> {
        send_at_interval(duration, interval, &relays, |relay| self.send(relay)).await
    }
}

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

fn plan() -> CrashPlan {
    CrashPlan::new("poison", DOWN)
}

async fn start(relays: usize) -> Result<Deployment> {
    let deployment = Deployment::start_plain(daemon(), &SERVERS, &vec!["a"; relays]).await?;
    arm(&deployment).await;
    Ok(deployment)
}

/// Starts three relays before servers of both kinds.
async fn start_with_engines() -> Result<Deployment> {
    let deployment = Deployment::start(daemon(), 3, 3, 3).await?;
    arm(&deployment).await;
    Ok(deployment)
}

/// Has the servers crash under poison requests, and waits until the relays know each other.
async fn arm(deployment: &Deployment) {
    arm_with(deployment, DOWN).await;
}

/// The same with servers that are down for so long.
async fn arm_with(deployment: &Deployment, down: Duration) {
    let plan = || CrashPlan::new("poison", down);
    for (service, _) in &deployment.services {
        service.crashes().set_plan(Some(plan()));
    }
    for host in &deployment.engines {
        host.engine.crashes().set_plan(Some(plan()));
    }
    sleep(SPREAD_TIME).await;
}

/// The crashes of all servers.
fn crashes(deployment: &Deployment) -> Vec<Crash> {
    let services = deployment
        .services
        .iter()
        .flat_map(|(s, _)| s.crashes().all());
    let engines = deployment
        .engines
        .iter()
        .flat_map(|h| h.engine.crashes().all());
    services.chain(engines).collect()
}

fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.relays.iter().map(|r| r.callers).collect()
}

/// The share of requests that were served.
fn served(heard: &[Result<Heard>]) -> f64 {
    let ok = heard.iter().flatten().filter(|h| h.whole_success());
    ok.count() as f64 / heard.len() as f64
}

fn assert_few_crashes(deployment: &Deployment) {
    let crashes = crashes(deployment);
    assert!(!crashes.is_empty());
    assert!(
        crashes.len() <= MAX_CRASHES,
        "{} crashes: {crashes:#?}",
        crashes.len()
    );
}

/// Asserts that few servers crash seconds after the requests that crash them could be known.
fn assert_few_late_crashes(deployment: &Deployment) {
    let mut crashes = crashes(deployment);
    crashes.sort_by_key(|crash| crash.at);
    let known_at = crashes[PROOF - 1].at + PROOF_TIME;
    let late = crashes.iter().filter(|crash| crash.at > known_at).count();
    assert!(late <= MAX_LATE, "{late} late crashes: {crashes:#?}");
}

/// Asserts that a request was refused with a time to come back.
fn assert_refused(heard: Option<&Result<Heard>>) {
    let heard = heard.and_then(|heard| heard.as_ref().ok());
    let refused = heard.is_some_and(|heard| {
        heard.status == StatusCode::SERVICE_UNAVAILABLE && heard.headers.contains_key("retry-after")
    });
    assert!(refused, "{heard:?}");
}

/// Sends a poison request of a kind for a while, and other requests beside it.
async fn assert_refused_by(deployment: &Deployment, poison: Sent) {
    let relays = addresses(deployment);
    let others = OTHER.send_at_interval(relays.clone(), INTERVAL);
    let poison = poison.send_at_interval(relays, POISON_INTERVAL);
    let (poison, others) = tokio::join!(poison, others);
    assert_few_crashes(deployment);
    assert_refused(poison.last());
    assert!(served(&others) > 0.95, "{} served", served(&others));
}

/// Guards against a poison request that relays go on sending until no server of the service is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_crashes_three_servers_at_most() -> Result<()> {
    assert_refused_by(&start(3).await?, REPEATABLE).await;
    Ok(())
}

/// Guards against crashes that count as one since the server comes back under its identifier and is listed as before.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_come_back_unchanged_crash_three_times_at_most() -> Result<()> {
    for poison in [REPEATABLE, ONCE] {
        let deployment = Deployment::start_plain(daemon(), &["a"], &["a"; 3]).await?;
        let keeps_id = true;
        let plan = CrashPlan { keeps_id, ..plan() };
        deployment.services[0].0.crashes().set_plan(Some(plan));
        sleep(SPREAD_TIME).await;
        let sent = poison.send_at_interval(addresses(&deployment), POISON_INTERVAL);
        let sent = sent.await;
        assert_few_crashes(&deployment);
        assert_refused(sent.last());
    }
    Ok(())
}

/// Sends a poison request to servers whose ports stay open when they crash.
async fn assert_few_late_losses(poison: Sent) -> Result<()> {
    let deployment = start(3).await?;
    for (service, _) in &deployment.services {
        let keeps_port = true;
        let plan = CrashPlan {
            keeps_port,
            ..plan()
        };
        service.crashes().set_plan(Some(plan));
    }
    let relays = addresses(&deployment);
    let others = OTHER.send_for(SEVERAL_DURATION, relays.clone(), INTERVAL);
    let poison = poison.send_for(SEVERAL_DURATION, relays, POISON_INTERVAL);
    let (_, others) = tokio::join!(poison, others);
    assert_few_late_crashes(&deployment);
    assert!(served(&others) > 0.95, "{} served", served(&others));
    Ok(())
}

/// Guards against crashes that nothing shows but lost connections, since a supervisor holds the servers' ports.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_behind_ports_that_stay_open_is_held_back() -> Result<()> {
    assert_few_late_losses(REPEATABLE).await
}

/// Guards against the same by requests that run once only, whose losses each relay sees one of.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_that_runs_once_behind_open_ports_is_held_back() -> Result<()> {
    assert_few_late_losses(ONCE).await
}

/// Guards against several poison requests that go on taking servers since each is convicted late, or convicted no more.
#[tokio::test(flavor = "multi_thread")]
async fn several_poison_requests_at_once_take_no_servers_after_seconds() -> Result<()> {
    let deployment = Deployment::start(daemon(), 8, 3, 6).await?;
    arm(&deployment).await;
    let relays = addresses(&deployment);
    let paths = ["/slots/poison-0", "/slots/poison-1", "/slots/poison-2"];
    let calls = paths.map(|path| Sent { path, ..REPEATABLE });
    let mut sent = JoinSet::new();
    for poison in calls.into_iter().chain([ONCE, STREAM, RESUMABLE]) {
        sent.spawn(poison.send_for(SEVERAL_DURATION, relays.clone(), POISON_INTERVAL / 2));
    }
    let others = OTHER.send_for(SEVERAL_DURATION, relays, INTERVAL).await;
    sent.join_all().await;
    assert_few_late_crashes(&deployment);
    assert!(served(&others) > 0.8, "{} served", served(&others));
    Ok(())
}

/// Guards against a poison request that may run once only and takes another server with each copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_that_runs_once_is_refused() -> Result<()> {
    assert_refused_by(&start_with_engines().await?, ONCE).await;
    Ok(())
}

/// Guards against a poison stream that takes another engine with each copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_stream_is_refused() -> Result<()> {
    assert_refused_by(&start_with_engines().await?, STREAM).await;
    Ok(())
}

/// Guards against a poison stream that its relay carries to the next engine after a crash.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_stream_that_may_be_resumed_is_refused() -> Result<()> {
    assert_refused_by(&start_with_engines().await?, RESUMABLE).await;
    Ok(())
}

/// Guards against evidence that is forgotten with a configuration, or that needs the store.
#[tokio::test(flavor = "multi_thread")]
async fn evidence_outlives_configurations_and_outages() -> Result<()> {
    let deployment = start(3).await?;
    let poison = REPEATABLE.send_at_interval(addresses(&deployment), POISON_INTERVAL);
    let poison = tokio::spawn(poison);
    let step = LOAD_DURATION / 4;
    sleep(step).await;
    deployment.add_route("more-slots", "/more/");
    sleep(step).await;
    deployment.store.set_busy(true);
    sleep(step).await;
    deployment.store.set_busy(false);
    deployment.add_route("still-more-slots", "/still-more/");
    let poison = poison.await?;
    assert_few_crashes(&deployment);
    assert_refused(poison.last());
    Ok(())
}

/// Guards against relays that are killed together while the store is away and send a known poison request again.
#[tokio::test(flavor = "multi_thread")]
async fn evidence_outlives_all_relays() -> Result<()> {
    let mut deployment = start_with_engines().await?;
    let relays = addresses(&deployment);
    let poison = REPEATABLE.send_at_interval(relays.clone(), POISON_INTERVAL);
    poison.await;
    sleep(SPREAD_TIME).await;
    let before = crashes(&deployment).len();
    for relay in &deployment.relays {
        relay.door.down().await;
    }
    for relay in 0..relays.len() {
        deployment.relays[relay].process.signal(Signal::Kill)?;
        deployment.relays[relay].process.wait_end(PATIENCE).await?;
        deployment.restart_relay(relay)?;
    }
    for relay in 0..relays.len() {
        deployment.wait_ready(relay).await?;
    }
    for relay in relays {
        let heard = REPEATABLE.send(relay).await;
        assert_refused(Some(&heard));
    }
    assert_eq!(crashes(&deployment).len(), before);
    Ok(())
}

/// Guards against relays that start together and send copies that come before they know what was refused.
#[tokio::test(flavor = "multi_thread")]
async fn relays_that_start_together_send_no_copies_of_suspects() -> Result<()> {
    let mut deployment = start_with_engines().await?;
    let relays = addresses(&deployment);
    REPEATABLE
        .send_at_interval(relays.clone(), POISON_INTERVAL)
        .await;
    let before = crashes(&deployment).len();
    for _ in 0..RESTARTS {
        let end = Instant::now() + RESTART_TIME;
        let mut sent = JoinSet::new();
        for relay in relays.clone() {
            sent.spawn(async move {
                while Instant::now() < end {
                    // Whatever its caller hears: the crashes are counted.
                    let _ = REPEATABLE.send(relay).await;
                    sleep(INTERVAL / 5).await;
                }
            });
        }
        for relay in 0..relays.len() {
            deployment.relays[relay].process.signal(Signal::Kill)?;
            deployment.relays[relay].process.wait_end(PATIENCE).await?;
            deployment.restart_relay(relay)?;
        }
        sent.join_all().await;
    }
    assert_eq!(crashes(&deployment).len(), before);
    Ok(())
}

/// Guards against a relay that joins and sends what the others know to be poison.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_joins_refuses_what_others_refuse() -> Result<()> {
    let mut deployment = start(2).await?;
    let poison = REPEATABLE.send_at_interval(addresses(&deployment), POISON_INTERVAL);
    poison.await;
    let before = crashes(&deployment).len();
    deployment.add_relay()?;
    deployment.wait_ready(2).await?;
    sleep(KNOWN_TIME).await;
    let heard = REPEATABLE.send(deployment.relays[2].callers).await;
    assert_refused(Some(&heard));
    assert_eq!(crashes(&deployment).len(), before);
    Ok(())
}

/// Guards against evidence that is wrong, or outdated by a release, and that no operator can lift.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspect_that_an_operator_clears_is_sent_again() -> Result<()> {
    let mut deployment = start(2).await?;
    let (first, second) = (deployment.relays[0].callers, deployment.relays[1].callers);
    REPEATABLE.send(first).await?;
    sleep(SPREAD_TIME).await;
    assert_refused(Some(&REPEATABLE.send(second).await));
    for (service, _) in &deployment.services {
        service.crashes().set_plan(None);
    }
    let status = deployment.status(0).await?;
    let fingerprint = status["suspects"][0]["fingerprint"].as_str().unwrap();
    let cleared = format!("{SLACK_SETTING}cleared = {fingerprint}\n");
    deployment.set(0, SLACK_SETTING, &cleared)?;
    deployment.relays[0].process.signal(Signal::Hangup)?;
    sleep(SPREAD_TIME).await;
    assert!(REPEATABLE.send(second).await?.whole_success());
    Ok(())
}

/// Guards against a trial that takes the last server, so that nobody is served until another one has restarted.
#[tokio::test(flavor = "multi_thread")]
async fn others_are_served_while_copies_of_a_poison_request_come_in_pairs() -> Result<()> {
    let deployment = Deployment::start_plain(daemon(), &ZONES, &ZONES).await?;
    arm_with(&deployment, LONG_DOWN).await;
    let relays = addresses(&deployment);
    let others = OTHER.send_at_interval(relays.clone(), INTERVAL / 10);
    let (first, second) = (vec![relays[0]], vec![relays[1]]);
    let firsts = REPEATABLE.send_at_interval(first, POISON_INTERVAL);
    let seconds = REPEATABLE.send_at_interval(second, POISON_INTERVAL);
    let (others, ..) = tokio::join!(others, firsts, seconds);
    assert!(served(&others) > 0.95, "{} served", served(&others));
    Ok(())
}

/// Guards against servers that are taken as soon as they are back, while requests of several kinds crash them, callers crowd
/// at one relay and configurations change.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_return_together_are_not_taken_again() -> Result<()> {
    let deployment = Deployment::start_plain(daemon(), &ZONES, &["a", "b", "c", "a"]).await?;
    arm_with(&deployment, LONG_DOWN).await;
    let relays = addresses(&deployment);
    let crowded = vec![relays[0], relays[0], relays[0], relays[1]];
    let mut sent = JoinSet::new();
    for poison in [REPEATABLE, ONCE] {
        // Pairs of copies, one of each at the crowded relay.
        for relays in [crowded.clone(), relays.clone()] {
            sent.spawn(poison.send_for(SEVERAL_DURATION, relays, POISON_INTERVAL / 2));
        }
    }
    let others = OTHER.send_for(SEVERAL_DURATION, crowded, INTERVAL / 5);
    let others = tokio::spawn(others);
    for route in ["/more/", "/still-more/", "/even-more/", "/most/"] {
        sleep(SEVERAL_DURATION / 5).await;
        deployment.add_route(route.trim_matches('/'), route);
    }
    let others = others.await?;
    sent.join_all().await;
    assert_few_late_crashes(&deployment);
    assert!(served(&others) > 0.8, "{} served", served(&others));
    Ok(())
}

/// Guards against a request that many callers send and that is refused since servers crashed beside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_hot_request_is_served_while_servers_crash_under_others() -> Result<()> {
    let deployment = start(3).await?;
    let relays = addresses(&deployment);
    let hot = OTHER.send_at_interval(relays.clone(), INTERVAL / 10);
    let hot = tokio::spawn(hot);
    for number in 0..3 {
        sleep(LOAD_DURATION / 4).await;
        // Requests of their own each time, which crash two servers at the same moment.
        let path = ["/slots/poison-0", "/slots/poison-1", "/slots/poison-2"][number];
        let poison = Sent { path, ..REPEATABLE };
        let (first, second) = (relays[0], relays[1]);
        let _ = tokio::join!(poison.send(first), poison.send(second));
    }
    let hot = hot.await?;
    assert!(served(&hot) > 0.9, "{} served", served(&hot));
    for relay in &deployment.relays {
        let log = relay.process.log();
        let refused = |line: &&str| line.contains("reason=\"poison\"") && line.contains("slots-7");
        assert_eq!(log.lines().find(refused), None);
    }
    Ok(())
}
