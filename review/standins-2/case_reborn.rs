//! A replica is cut off, crashes behind the cut and starts again. Its answers have no length and end with their channel.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Failure;
use crate::client;
use crate::deployment::Deployment;
use crate::deployment::INNER;
use crate::deployment::Pace;
use crate::link::Link;
use crate::with_trouble;

const RELAY: u8 = 1;
const REPLICAS: [u8; 3] = [11, 12, 13];

/// The replica that is cut off: one of three.
const CUT: u8 = 11;

/// Length of the cut, and when the replica crashes in it and starts again.
const CUT_TIME: Duration = Duration::from_millis(4_500);
const CRASH_AT: Duration = Duration::from_millis(600);
const BACK_AT: Duration = Duration::from_millis(2_600);

/// When its former entry is removed: after three check-in intervals of 1.2 s.
const LAPSE_AT: Duration = Duration::from_millis(4_200);

/// Streams of 100 events, 60 ms apart, which the page's requesters await for 7.2 s at each event.
const STREAMS: u32 = 9;
const OUTPUT: u32 = 400;
const PACE: Pace = Pace { first_ms: 300, gap_ms: 60, framing: "close", crash_at: 0 };

pub fn play(folder: &str) -> Result<bool, Failure> {
    let zones = [("taipei-a", "north-tw")];
    let deployment = Arc::new(Deployment::start(folder, &zones, &[RELAY])?);
    let outcome = play_on(&deployment);
    deployment.end();
    outcome
}

fn play_on(deployment: &Arc<Deployment>) -> Result<bool, Failure> {
    let link = Link::open(deployment.app(CUT), deployment.at(CUT, INNER))?;
    for replica in REPLICAS {
        let port = if replica == CUT { INNER } else { 4 };
        deployment.start_replica(replica, "taipei-a", port, 1, PACE)?;
        deployment.start_scout(replica, "taipei-a")?;
    }
    deployment.start_relay(RELAY, "taipei-a")?;
    deployment.wait_ready(&[RELAY])?;

    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let deployment = deployment.clone();
            thread::sleep(Duration::from_millis(40));
            thread::spawn(move || {
                let id = format!("draft-{number}");
                deployment.record.write(&format!("requester sends {id}"));
                let request = client::stream_request(&id, 700, OUTPUT, 39_000);
                let heard = client::ask(deployment.callers(RELAY), &request);
                deployment.record.write(&format!("requester has {id}: {heard:?}"));
                heard
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if with_trouble() {
        deployment.record.write(&format!("the link of replica i-{CUT}-1 is cut"));
        link.set_cut(true);
        thread::sleep(CRASH_AT);
        deployment.signal(&format!("replica-{CUT}-1"), "KILL")?;
        thread::sleep(BACK_AT - CRASH_AT);
        deployment.start_replica(CUT, "taipei-a", INNER, 2, PACE)?;
        deployment.record.write(&format!("replica i-{CUT}-2 has started"));
        thread::sleep(LAPSE_AT - BACK_AT);
        deployment.store.remove("servers", &format!("i-{CUT}-1"));
        deployment.record.write(&format!("the entry of i-{CUT}-1 is removed"));
        thread::sleep(CUT_TIME - LAPSE_AT);
        link.set_cut(false);
        deployment.record.write("the cut has healed");
    }
    let mut is_broken = false;
    let mut whole = 0;
    for stream in streams {
        let heard = stream.join().map_err(|_| "a requester failed")?;
        whole += u32::from(heard.looks_whole() && heard.events == heard.meant);
        is_broken |= heard.looks_whole() && heard.events < heard.meant;
    }
    let verdict = match is_broken {
        true => "BROKEN: an answer that its replica did not end looks complete",
        false => "held",
    };
    deployment.record.write(&format!("{whole} of {STREAMS} streams whole; {verdict}"));
    if !with_trouble() && whole < STREAMS {
        return Err("not all streams were served without the disruption".into());
    }
    Ok(is_broken)
}
