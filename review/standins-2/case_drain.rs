//! Two of a zone's three relays are stopped and started in turn while requesters send streams, late in the grace period too: fewer
//! than half are in rotation, so that the balancer uses all of them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Failure;
use crate::client;
use crate::client::Heard;
use crate::deployment::Deployment;
use crate::deployment::GRACE;
use crate::deployment::Pace;
use crate::with_trouble;

/// Three relays of one zone, of which two are stopped in turn, and two of another zone: two of five.
const ZONE_A: [u8; 3] = [1, 2, 3];
const ZONE_B: [u8; 2] = [4, 5];
const STOPPED: [u8; 2] = [1, 2];
const STEP: Duration = Duration::from_millis(1_300);
const REPLICAS: [u8; 3] = [11, 12, 13];

/// Time to the first event and between two: within the route's objective of 1.8 s and its gap of 180 ms.
const PACE: Pace = Pace { first_ms: 1_000, gap_ms: 80, framing: "chunks", crash_at: 0 };

/// A stream that is open while its relay is stopped, and one that is sent meanwhile: tokens of output.
const LONG: u32 = 600;
const SHORT: u32 = 160;

/// The bounds of the rule: a request that is sent later than this after SIGTERM isn't excused.
const EXCUSED: u64 = 3_000;

/// Requests that were sent, by whom, and when.
struct Sent {
    id: String,
    relay: u8,
    at: u64,
    ended: u64,
    heard: Heard,
}

/// Which relays of the zone the balancer uses: those that did not miss two checks in a row, or all if these are fewer than half.
struct Balancer {
    misses: Mutex<[u32; ZONE_A.len()]>,
    is_over: AtomicBool,
}

impl Balancer {
    fn check(&self, deployment: &Deployment) {
        while !self.is_over.load(Ordering::Relaxed) {
            for (index, relay) in ZONE_A.iter().enumerate() {
                let is_ready = deployment.is_ready(*relay);
                let mut misses = self.misses.lock().unwrap_or_else(|error| error.into_inner());
                misses[index] = if is_ready { 0 } else { misses[index] + 1 };
                if misses[index] == 2 {
                    deployment.record.write(&format!("balancer: edge-{relay} out of rotation"));
                }
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    fn choose(&self, requester: usize) -> u8 {
        let misses = *self.misses.lock().unwrap_or_else(|error| error.into_inner());
        let used = ZONE_A.iter().zip(misses).filter(|(_, misses)| *misses < 2);
        let used: Vec<u8> = used.map(|(relay, _)| *relay).collect();
        match used.len() * 2 < ZONE_A.len() {
            true => ZONE_A[requester % ZONE_A.len()],
            false => used[requester % used.len()],
        }
    }
}

fn send(deployment: &Arc<Deployment>, id: String, relay: u8, output: u32) -> thread::JoinHandle<Sent> {
    let deployment = deployment.clone();
    thread::spawn(move || {
        let at = deployment.record.now();
        deployment.record.write(&format!("requester sends {id} to edge-{relay}, {output} tokens"));
        let request = client::stream_request(&id, 350, output, 39_000);
        let heard = client::ask(deployment.callers(relay), &request);
        let ended = deployment.record.now();
        deployment.record.write(&format!("requester has {id}: {heard:?}"));
        Sent { id, relay, at, ended, heard }
    })
}

pub fn play(folder: &str) -> Result<bool, Failure> {
    let zones = [("taipei-a", "north-tw"), ("taichung-a", "central-tw")];
    let deployment = Arc::new(Deployment::start(folder, &zones, &[1, 2, 4])?);
    let outcome = play_on(&deployment);
    deployment.end();
    outcome
}

fn play_on(deployment: &Arc<Deployment>) -> Result<bool, Failure> {
    for relay in ZONE_A {
        deployment.start_relay(relay, "taipei-a")?;
    }
    for relay in ZONE_B {
        deployment.start_relay(relay, "taichung-a")?;
    }
    for replica in REPLICAS {
        deployment.start_replica(replica, "taipei-a", 4, 1, PACE)?;
        deployment.start_scout(replica, "taipei-a")?;
    }
    deployment.wait_ready(&[ZONE_A.as_slice(), &ZONE_B].concat())?;
    let balancer = Arc::new(Balancer { misses: Mutex::default(), is_over: AtomicBool::new(false) });
    let (checks, checked) = (balancer.clone(), deployment.clone());
    let checking = thread::spawn(move || checks.check(&checked));

    let mut streams = Vec::new();
    for (number, relay) in ZONE_A.iter().enumerate() {
        streams.push(send(&deployment, format!("long-{number}"), *relay, LONG));
    }
    thread::sleep(Duration::from_secs(2));
    let mut stopped: Vec<(u8, u64)> = Vec::new();
    let begun = deployment.record.now();
    for number in 0..46 {
        let since = Duration::from_millis(deployment.record.now() - begun);
        let due = STOPPED.get(stopped.len()).filter(|_| since >= STEP * stopped.len() as u32);
        if let Some(relay) = due.filter(|_| with_trouble()) {
            deployment.signal(&format!("edge-{relay}"), "TERM")?;
            stopped.push((*relay, deployment.record.now()));
        }
        let relay = balancer.choose(number * 7);
        streams.push(send(&deployment, format!("short-{number}"), relay, SHORT));
        thread::sleep(Duration::from_millis(150));
    }
    // The platform kills what is still there after the grace period, and starts the relay again.
    for (relay, at) in &stopped {
        let due = Duration::from_millis(*at) + GRACE;
        thread::sleep(due.saturating_sub(Duration::from_millis(deployment.record.now())));
        deployment.signal(&format!("edge-{relay}"), "KILL")?;
        deployment.restart_relay(*relay, "taipei-a")?;
    }
    let sent: Result<Vec<Sent>, _> = streams.into_iter().map(|stream| stream.join()).collect();
    let sent = sent.map_err(|_| "a requester failed")?;
    balancer.is_over.store(true, Ordering::Relaxed);
    checking.join().map_err(|_| "the balancer failed")?;
    let lost = sent.iter().filter(|sent| is_lost(&deployment, sent, &stopped)).count();
    let whole = sent.iter().filter(|s| s.heard.looks_whole() && s.heard.events == s.heard.meant).count();
    let refused = sent.iter().filter(|sent| sent.heard.status == 503).count();
    let verdict = if lost > 0 { "BROKEN" } else { "held" };
    deployment.record.write(&format!(
        "{} streams: {whole} whole, {refused} refused, {lost} lost that are not excused; {verdict}",
        sent.len()
    ));
    if !with_trouble() && whole + refused < sent.len() {
        return Err("not all streams were served without the disruption".into());
    }
    Ok(lost > 0)
}

/// Whether a stopped relay passed the request on to a replica and its channel ended without a complete answer, where nothing
/// excuses that.
fn is_lost(deployment: &Deployment, sent: &Sent, stopped: &[(u8, u64)]) -> bool {
    let Some((_, term)) = stopped.iter().find(|(relay, _)| *relay == sent.relay) else {
        return false;
    };
    let grace = GRACE.as_millis() as u64;
    let is_late = sent.at > term + EXCUSED;
    let is_in_time = sent.ended <= term + grace + 1_000;
    let lines = deployment.lines.lock().unwrap_or_else(|error| error.into_inner());
    let (runs, ends) = (format!(" runs {}", sent.id), format!(" ends {}:", sent.id));
    let ran = lines.iter().any(|(_, line)| line.ends_with(&runs));
    let ended = lines.iter().find(|(_, line)| line.contains(&ends)).map(|(at, _)| *at);
    let at_work_late = ended.is_none_or(|at| at >= term + grace * 5 / 6);
    let is_excused = !is_late && at_work_late;
    let is_lost = ran && !sent.heard.complete && is_in_time && !is_excused;
    if is_lost {
        let (after, events, meant) = (sent.at - term.min(&sent.at), sent.heard.events, sent.heard.meant);
        deployment.record.write(&format!(
            "LOST: {}, sent {after} ms after SIGTERM of edge-{}, ran, cut after {events} of {meant} events",
            sent.id, sent.relay
        ));
    }
    is_lost
}
