//! A request crashes each replica that runs it, a quarter of a second after its first token, and comes again and again.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Failure;
use crate::client;
use crate::deployment::Deployment;
use crate::deployment::Pace;
use crate::with_trouble;

const RELAYS: [u8; 2] = [1, 2];
const REPLICAS: [u8; 4] = [11, 12, 13, 14];

/// A crashed replica is back after this time, under another id.
const BACK_AFTER: Duration = Duration::from_secs(2);

/// How often the request comes, and how many times.
const AGAIN: Duration = Duration::from_millis(1_500);
const TIMES: u32 = 20;

/// The bounds of the rule: crashes that prove it, `stableWindowMs`, and retries after that.
const PROOF: usize = 3;
const STABLE_MS: u64 = 4_000;
const RETRIES: usize = 3;

/// When the entry of a crashed replica is removed: after three check-in intervals of 1.2 s.
const LAPSE_AFTER: Duration = Duration::from_millis(3_600);

/// The event after which the request crashes a replica, and how many tokens it would have.
const CRASH_AT: u32 = 9;
const OUTPUT: u32 = 400;

/// The output of other requests.
const OTHERS_OUTPUT: u32 = 120;

pub fn play(folder: &str) -> Result<bool, Failure> {
    let zones = [("taipei-a", "north-tw")];
    let deployment = Arc::new(Deployment::start(folder, &zones, &RELAYS)?);
    let outcome = play_on(&deployment);
    deployment.end();
    outcome
}

fn play_on(deployment: &Arc<Deployment>) -> Result<bool, Failure> {
    let crash_at = if with_trouble() { CRASH_AT } else { 0 };
    let pace = Pace { first_ms: 200, gap_ms: 30, framing: "chunks", crash_at };
    for replica in REPLICAS {
        deployment.start_replica(replica, "taipei-a", 4, 1, pace)?;
        deployment.start_scout(replica, "taipei-a")?;
    }
    for relay in RELAYS {
        deployment.start_relay(relay, "taipei-a")?;
    }
    deployment.wait_ready(&RELAYS)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let (watched, stop) = (deployment.clone(), is_over.clone());
    let restarting = thread::spawn(move || bring_back(&watched, pace, &stop));
    // Other requests run beside it, as ever.
    let others: Vec<_> = (0..TIMES)
        .map(|number| {
            let (deployment, relay) = (deployment.clone(), RELAYS[number as usize % RELAYS.len()]);
            thread::spawn(move || {
                thread::sleep(AGAIN * number);
                let id = format!("other-{number}");
                let request = client::stream_request(&id, 300, OTHERS_OUTPUT, 39_000);
                let heard = client::ask(deployment.callers(relay), &request);
                deployment.record.write(&format!("requester has {id}: {heard:?}"));
                (heard, deployment.record.now())
            })
        })
        .collect();
    let requesters: Vec<_> = (0..TIMES)
        .map(|number| {
            let (deployment, relay) = (deployment.clone(), RELAYS[number as usize % RELAYS.len()]);
            let requester = thread::spawn(move || {
                let id = format!("attempt-{number}");
                deployment.record.write(&format!("requester sends {id} to edge-{relay}"));
                let request = client::same_request(&id, "poison", 300, OUTPUT, 39_000);
                let heard = client::ask(deployment.callers(relay), &request);
                deployment.record.write(&format!("requester has {id}: {heard:?}"));
            });
            thread::sleep(AGAIN);
            requester
        })
        .collect();
    for requester in requesters {
        requester.join().map_err(|_| "a requester failed")?;
    }
    let others: Result<Vec<_>, _> = others.into_iter().map(|other| other.join()).collect();
    let others = others.map_err(|_| "a requester failed")?;
    is_over.store(true, Ordering::Relaxed);
    restarting.join().map_err(|_| "the replicas were not watched")?;
    let lines = deployment.lines.lock().unwrap_or_else(|error| error.into_inner()).clone();
    let times = |word: &str| -> Vec<u64> {
        let found = lines.iter().filter(|(_, line)| line.contains(word));
        found.map(|(at, _)| *at).collect()
    };
    let crashes = times(" crashes under attempt-");
    let proof = crashes.get(PROOF - 1).copied();
    let runs = times(" runs attempt-");
    let late = proof.map_or(0, |proof| runs.iter().filter(|at| **at > proof + STABLE_MS).count());
    let cut = others.iter().filter(|(heard, _)| heard.status == 200 && !heard.complete);
    let cut = cut.filter(|(_, at)| proof.is_some_and(|proof| *at > proof + STABLE_MS)).count();
    let verdict = if late > RETRIES { "BROKEN" } else { "held" };
    deployment.record.write(&format!(
        "{} crashes; the request reached replicas {late} times later than {STABLE_MS} ms after the third; {cut} of {} other streams \
         were cut after that; {verdict}",
        crashes.len(),
        others.len()
    ));
    Ok(late > RETRIES)
}

/// Starts replicas that have crashed again, and enters their new lives into the store.
fn bring_back(deployment: &Deployment, pace: Pace, is_over: &AtomicBool) {
    let mut lives = REPLICAS.map(|replica| (replica, 1));
    // Entries of former lives, and when these were followed by others.
    let mut lapsing: Vec<(String, u64)> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let lines = deployment.lines.lock().unwrap_or_else(|error| error.into_inner()).clone();
        for (replica, life) in &mut lives {
            let mark = format!("i-{replica}-{life} crashes");
            let crashed = lines.iter().find(|(_, line)| line.starts_with(&mark)).map(|(at, _)| *at);
            let back = crashed.map(|at| at + BACK_AFTER.as_millis() as u64);
            if back.is_some_and(|back| deployment.record.now() >= back) {
                lapsing.push((format!("i-{replica}-{life}"), back.unwrap_or(0)));
                *life += 1;
                match deployment.start_replica(*replica, "taipei-a", 4, *life, pace) {
                    Ok(()) => deployment.record.write(&format!("i-{replica}-{life} has started")),
                    Err(error) => deployment.record.write(&format!("no new life of a replica: {error}")),
                }
            }
        }
        let now = deployment.record.now();
        let after = (LAPSE_AFTER - BACK_AFTER).as_millis() as u64;
        lapsing.retain(|(former, back)| {
            let is_due = now >= back + after;
            if is_due {
                deployment.store.remove("servers", former);
            }
            !is_due
        });
        thread::sleep(Duration::from_millis(50));
    }
}
