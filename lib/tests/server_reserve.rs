//! Tests of the servers that trials of suspects leave to other requests.

use std::collections::HashMap;
use std::time::Duration;

use cicada_lib::crash_mark::CrashId;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::crash_mark::Exposure;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::peer_messages::SuspectNotice;
use cicada_lib::quarantine::Admission;
use cicada_lib::quarantine::Candidate;
use cicada_lib::quarantine::Quarantine;
use cicada_lib::quarantine::Refusal;
use cicada_lib::server_reserve::ListedServer;
use cicada_lib::time::Time;
use testutils::suspect_fleet::address;
use testutils::suspect_fleet::begin;

const SERVICE: Fingerprint = Fingerprint(0);
const SUSPECT: Fingerprint = Fingerprint(1);
const MS: Duration = Duration::from_millis(1);

/// A crash of an incarnation that is listed no more.
const FORMER: u64 = 90;

/// Longer than news of a crash takes.
const SETTLED: Duration = Duration::from_millis(400);

/// A server whose incarnation ends with this crash.
fn server(crash: u64) -> ListedServer {
    ListedServer {
        crash: CrashId(crash),
        answered_at: None,
        is_reachable: true,
    }
}

/// An entry that knows these servers.
fn entry(servers: &[ListedServer]) -> Quarantine {
    let mut entry = Quarantine::new(address(0));
    list(&mut entry, begin(), servers);
    entry
}

fn list(entry: &mut Quarantine, now: Time, servers: &[ListedServer]) {
    entry.set_servers(now, HashMap::from([(SERVICE, servers.to_vec())]));
}

fn crash(entry: &mut Quarantine, now: Time, crash: u64) {
    let mark = CrashMark {
        fingerprint: SUSPECT,
        crash: CrashId(crash),
        exposure: Exposure::Crowd,
        run: 0,
        cleared: false,
        age: 0,
    };
    entry.merge(now, &SuspectNotice { marks: vec![mark] });
}

fn candidate() -> Candidate {
    Candidate {
        subjects: vec![SUSPECT],
        service: SERVICE,
        servers: 3,
    }
}

/// Whether a trial is asked for the suspect at an entry.
fn is_tried(entry: &mut Quarantine, now: Time) -> bool {
    let candidate = candidate();
    let trial = now.micros();
    match entry.admit(now, &candidate, trial) {
        Admission::Asked => {
            entry.end_trial(now, trial, false);
            true
        }
        Admission::Wait => false,
        other => panic!("{other:?}"),
    }
}

/// Guards against a trial that takes the last server since the other entry's crash of the same moment is not known yet.
#[test]
fn a_suspect_waits_for_news_of_crashes_at_the_same_moment() {
    let mut entry = entry(&[server(1), server(2), server(3)]);
    crash(&mut entry, begin(), 1);
    assert!(!is_tried(&mut entry, begin() + MS));
    crash(&mut entry, begin() + MS * 50, 2);
    assert!(!is_tried(&mut entry, begin() + SETTLED + MS * 50));
    let refusal = entry.wait_refusal(begin() + SETTLED, &candidate());
    assert!(matches!(refusal, Refusal::NoSpareServer(_)), "{refusal:?}");
    // One of them is back as another incarnation.
    let now = begin() + SETTLED * 2;
    list(&mut entry, now, &[server(11), server(2), server(3)]);
    assert!(is_tried(&mut entry, now));
}

/// Guards against an idempotent request that is lost with the first of two servers, since it is not tried at the second.
#[test]
fn a_request_under_which_one_server_crashed_is_tried_at_the_last_one() {
    let mut entry = entry(&[server(1), server(2)]);
    crash(&mut entry, begin(), 1);
    assert!(!is_tried(&mut entry, begin() + MS));
    assert!(is_tried(&mut entry, begin() + SETTLED));
}

/// Guards against suspects of a large service that wait after each crash.
#[test]
fn a_suspect_does_not_wait_where_most_servers_run() {
    let servers: Vec<ListedServer> = (1..=12).map(server).collect();
    let mut entry = entry(&servers);
    crash(&mut entry, begin(), 1);
    assert!(is_tried(&mut entry, begin() + MS));
}

/// Guards against a suspect that is never tried since its service has one server.
#[test]
fn a_suspect_of_a_service_with_one_server_is_tried() {
    let mut entry = entry(&[server(1)]);
    crash(&mut entry, begin(), 1);
    assert!(is_tried(&mut entry, begin() + SETTLED));
}

/// Guards against a trial at the last server after the directory has dropped the others, which restart.
#[test]
fn servers_that_were_dropped_lately_still_count() {
    let mut entry = entry(&[server(1), server(2), server(3)]);
    crash(&mut entry, begin(), 1);
    crash(&mut entry, begin(), 2);
    for seconds in 1..30 {
        let now = begin() + Duration::from_secs(seconds);
        list(&mut entry, now, &[server(3)]);
        assert!(!is_tried(&mut entry, now), "{seconds}");
    }
    // They do not come back.
    for seconds in 30..180 {
        list(
            &mut entry,
            begin() + Duration::from_secs(seconds),
            &[server(3)],
        );
    }
    assert!(is_tried(&mut entry, begin() + Duration::from_secs(180)));
}

/// Guards against a suspect that is not tried since servers came back under their former identifiers.
#[test]
fn a_server_that_is_listed_unchanged_runs_again_once_it_answers() {
    let mut entry = entry(&[server(1), server(2)]);
    crash(&mut entry, begin(), FORMER);
    crash(&mut entry, begin(), 1);
    let now = begin() + SETTLED;
    assert!(!is_tried(&mut entry, now));
    let answered = ListedServer {
        answered_at: Some(now),
        ..server(1)
    };
    list(&mut entry, now, &[answered, server(2)]);
    assert!(is_tried(&mut entry, now + MS));
    let mut unheard = self::entry(&[server(1), server(2)]);
    crash(&mut unheard, begin(), FORMER);
    crash(&mut unheard, begin(), 1);
    assert!(is_tried(&mut unheard, begin() + Duration::from_secs(31)));
}

/// Guards against a trial at the last server that can be reached, since the others are dark and no crash shows.
#[test]
fn a_server_that_cannot_be_reached_does_not_count() {
    let unreachable = ListedServer {
        is_reachable: false,
        ..server(2)
    };
    let mut entry = entry(&[server(1), unreachable]);
    crash(&mut entry, begin(), FORMER);
    crash(&mut entry, begin(), FORMER + 10);
    assert!(!is_tried(&mut entry, begin() + SETTLED));
}
