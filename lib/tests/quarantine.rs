//! Poison requests in a simulated fleet of entries: how many servers they crash, and what other requests bear.

use std::time::Duration;

use cicada_lib::crash_mark::CrashId;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::crash_mark::Exposure;
use cicada_lib::crash_mark::Verdict;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::SuspectNotice;
use cicada_lib::peer_messages::TrialMessage;
use cicada_lib::quarantine::Admission;
use cicada_lib::quarantine::Candidate;
use cicada_lib::quarantine::Quarantine;
use cicada_lib::quarantine::Refusal;
use cicada_lib::suspect_trials::TrialEnd;
use cicada_lib::suspect_trials::TrialReply;
use cicada_lib::suspect_trials::TrialRequest;
use cicada_lib::time::Time;
use quickcheck::QuickCheck;
use testutils::suspect_fleet::DELAY_MS;
use testutils::suspect_fleet::DOWN;
use testutils::suspect_fleet::Fleet;
use testutils::suspect_fleet::Net;
use testutils::suspect_fleet::RUN;
use testutils::suspect_fleet::SOUND;
use testutils::suspect_fleet::address;
use testutils::suspect_fleet::begin;

const POISON: Fingerprint = Fingerprint(u128::MAX);
const HOT: Fingerprint = Fingerprint(7);

/// The most crashes on trial of one request, whatever is lost.
const MAX_TRIAL_CRASHES: usize = 3;

/// The time after the third crash from which few servers are to crash, and how many may.
const PROOF_TIME: Duration = Duration::from_secs(5);
const MAX_LATE: usize = 3;

/// How long copies come, and how often: longer apart than evidence takes to all entries.
const LENGTH_MS: u64 = 30_000;
const COPY_INTERVAL_MS: u64 = 200;

/// When servers crash before copies come, after the entries know the servers.
const FIRST_CRASH_MS: u64 = 500;

fn is_poison(request: Fingerprint) -> bool {
    request.0 > u128::MAX - 100
}

/// Sends `at_once` copies of a poison request at the same moment and one each interval from then on. Returns the fleet and
/// the most servers that were down at the same time after the first moment's crashes.
fn poison_fleet(seed: u64, entries: usize, servers: usize, at_once: usize) -> (Fleet, usize) {
    let mut fleet = Fleet::new(seed, entries, servers);
    let mut most_down = 0;
    for ms in 0..LENGTH_MS {
        let now = begin() + Duration::from_millis(ms);
        if ms == 0 {
            (0..at_once).for_each(|_| fleet.send(now, &[POISON], true));
        }
        if ms % COPY_INTERVAL_MS == 0 {
            fleet.send(now, &[POISON], true);
        }
        if ms % 10 == 0 {
            fleet.send(now, &[HOT], false);
        }
        fleet.step(now);
        if now > begin() + DOWN * 2 {
            let down = fleet.down_until.iter().filter(|until| **until > now);
            most_down = most_down.max(down.count());
        }
    }
    (fleet, most_down)
}

/// Guards against copies of a poison request that entries send side by side once it is a suspect.
#[test]
fn a_poison_request_crashes_three_servers_through_any_number_of_entries() {
    for entries in [1, 3, 100] {
        for seed in 0..5 {
            let (fleet, most_down) = poison_fleet(seed, entries, 6, 0);
            assert!(fleet.crashes.len() <= 3, "{entries}: {:?}", fleet.crashes);
            assert!(most_down <= 1, "{entries}: {most_down}");
            assert!(!fleet.refused.contains(&HOT));
        }
    }
}

/// Guards against copies that were sent before anyone could know and that each add to what later copies may take.
#[test]
fn copies_at_the_same_moment_cost_two_servers_more_than_they_take() {
    for entries in [3, 100] {
        for seed in 0..5 {
            let (fleet, most_down) = poison_fleet(seed, entries, 20, 6);
            let at_once = fleet.crashes.iter().filter(|at| **at <= begin() + RUN * 2);
            let at_once = at_once.count();
            assert!(at_once <= 7, "{at_once}");
            assert!(fleet.crashes.len() <= at_once + 2, "{:?}", fleet.crashes);
            assert!(most_down <= 1, "{entries}: {most_down}");
        }
    }
}

/// Guards against a request that many callers send and that is refused since it was in flight at crashes.
#[test]
fn a_hot_request_in_flight_at_every_crash_is_not_refused() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 5, 6);
        for ms in 0..LENGTH_MS {
            let now = begin() + Duration::from_millis(ms);
            if ms % 5 == 0 {
                fleet.send(now, &[HOT], false);
            }
            // Half of the servers crash together, again and again.
            if ms % 4_000 == 1_000 {
                (0..3).for_each(|server| fleet.crash(now, server));
            }
            fleet.step(now);
        }
        assert!(!fleet.refused.contains(&HOT));
        // Copies that wait for a trial at the end are not more than those of a few trials.
        assert!(fleet.copies() < 100, "{}", fleet.copies());
    }
}

fn crowd_mark(fingerprint: Fingerprint, crash: u64) -> CrashMark {
    CrashMark {
        fingerprint,
        crash: CrashId(crash),
        exposure: Exposure::Crowd,
        run: 0,
        cleared: false,
        age: 0,
    }
}

fn candidate(request: Fingerprint) -> Candidate {
    Candidate {
        subjects: vec![request],
        service: Fingerprint(0),
        servers: 6,
    }
}

/// Crashes two of three servers under a poison request that comes again and again. Returns the fleet and the milliseconds
/// in which no server ran.
fn last_server_fleet(seed: u64, entries: usize, net: Net) -> (Fleet, usize) {
    let mut fleet = Fleet::new(seed, entries, 3);
    fleet.net = net;
    let mut all_down = 0;
    for ms in 0..LENGTH_MS {
        let now = begin() + Duration::from_millis(ms);
        if ms == FIRST_CRASH_MS {
            (0..2).for_each(|server| fleet.crash_under(now, &[POISON], server));
        }
        if ms % COPY_INTERVAL_MS == 0 && ms > FIRST_CRASH_MS {
            fleet.send(now, &[POISON], true);
        }
        fleet.step(now);
        all_down += usize::from(fleet.down_until.iter().all(|until| *until > now));
    }
    (fleet, all_down)
}

/// Guards against a trial that takes the last server of a small service after its other servers crashed together.
#[test]
fn a_trial_leaves_the_last_server_of_a_service() {
    for entries in [1, 3, 29] {
        for seed in 0..5 {
            let (fleet, all_down) = last_server_fleet(seed, entries, SOUND);
            assert_eq!(all_down, 0, "{entries} {seed}: {:?}", fleet.crashes);
            assert!(fleet.trial_crashes.contains_key(&POISON), "{entries}");
        }
    }
}

/// Guards against the same by an entry or an arbiter that has not heard of the other server's crash yet.
#[test]
fn late_or_lost_news_takes_no_servers_seconds_after_the_first() {
    let late = Net {
        delay: (400, 600),
        loss: 0.0,
    };
    let lossy = Net {
        delay: (1, DELAY_MS),
        loss: 0.5,
    };
    for net in [late, lossy] {
        for entries in [1, 3, 29] {
            for seed in 0..5 {
                let (fleet, _) = last_server_fleet(seed, entries, net);
                let known_at = fleet.crashes[2] + PROOF_TIME;
                let late = fleet.crashes.iter().filter(|at| **at > known_at).count();
                assert!(late <= MAX_LATE, "{entries} {net:?}: {:?}", fleet.crashes);
            }
        }
    }
}

/// Guards against a request that many callers send and that waits for a trial after each crash under others.
#[test]
fn a_request_that_servers_have_answered_needs_no_trial_after_crashes_beside_it() {
    let mut entry = Quarantine::new(address(0));
    let mut other = Quarantine::new(address(1));
    entry.record_sound(begin(), &[HOT]);
    let crashed_at = begin() + Duration::from_secs(1);
    let notice = SuspectNotice {
        marks: vec![
            crowd_mark(HOT, 1),
            crowd_mark(POISON, 1),
            crowd_mark(HOT, 2),
        ],
    };
    other.merge(crashed_at, &notice);
    entry.merge(crashed_at, &notice);
    assert_eq!(entry.admit(crashed_at, &candidate(HOT), 1), Admission::Free);
    assert_eq!(
        entry.admit(crashed_at, &candidate(POISON), 2),
        Admission::Asked
    );
    // An entry where no answer on it was seen learns that the crashes do not count.
    while let Some(notice) = entry.take_unsent(crashed_at) {
        other.merge(crashed_at, &notice);
    }
    assert_eq!(other.admit(crashed_at, &candidate(HOT), 3), Admission::Free);
}

/// Guards against a request that servers have answered for long and that crashes them from now on.
#[test]
fn a_request_that_was_sound_before_is_convicted() {
    const SOUND_MS: u64 = 5_000;
    for entries in [1, 5, 29] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(seed, entries, 12);
            for ms in 0..SOUND_MS + 70_000 {
                let now = begin() + Duration::from_millis(ms);
                if ms % COPY_INTERVAL_MS == 0 {
                    fleet.send(now, &[POISON], ms > SOUND_MS);
                }
                fleet.step(now);
            }
            assert!(fleet.crashes.len() <= 6, "{entries}: {:?}", fleet.crashes);
            assert_eq!(fleet.trial_crashes[&POISON], 2, "{entries}");
        }
    }
}

/// Sends several poison requests at once through a fleet whose messages fare like this.
fn several_poisons(seed: u64, entries: usize, servers: usize, poisons: u128, net: Net) -> Fleet {
    let mut fleet = Fleet::new(seed, entries, servers);
    fleet.net = net;
    for ms in 0..LENGTH_MS {
        let now = begin() + Duration::from_millis(ms);
        if ms % COPY_INTERVAL_MS == 0 {
            (0..poisons).for_each(|p| fleet.send(now, &[Fingerprint(u128::MAX - p)], true));
        }
        if ms % 10 == 0 {
            // Each in flight at crashes, and each seldom sent.
            let innocent = Fingerprint(1 + fleet.rng.u128(..200));
            fleet.send(now, &[innocent], false);
        }
        fleet.step(now);
    }
    fleet
}

/// Guards against copies that wait for a trial that nobody is granted, and are then told to come back too early.
#[test]
fn a_pause_of_the_arbiter_refuses_at_once() {
    let now = begin();
    let mut entry = Quarantine::new(address(0));
    let mark = CrashMark {
        fingerprint: POISON,
        crash: CrashId(1),
        exposure: Exposure::Crowd,
        run: 0,
        cleared: false,
        age: 0,
    };
    entry.merge(now, &SuspectNotice { marks: vec![mark] });
    let candidate = Candidate {
        subjects: vec![POISON],
        service: Fingerprint(0),
        servers: 6,
    };
    assert_eq!(entry.admit(now, &candidate, 1), Admission::Asked);
    entry.advance_trials(now);
    assert!(entry.holds_trial(now, 1));
    entry.end_trial(now, 1, true);
    assert_eq!(entry.admit(now, &candidate, 2), Admission::Asked);
    entry.advance_trials(now);
    assert!(!entry.holds_trial(now, 2));
    let pause = Duration::from_secs(10);
    let refusal = entry.trial_refusal(now, &[POISON], 2);
    assert_eq!(refusal, Some(Refusal::Paused(pause)));
}

/// Guards against several poison requests that go on taking servers since a trial of each comes seconds after the last.
#[test]
fn several_poison_requests_take_no_servers_seconds_after_the_first() {
    for (entries, poisons) in [(3, 4), (29, 4)] {
        let fleet = several_poisons(7, entries, 6, poisons, SOUND);
        let known_at = fleet.crashes[2] + PROOF_TIME;
        let late = fleet.crashes.iter().filter(|at| **at > known_at).count();
        assert!(late <= MAX_LATE, "{entries}: {:?}", fleet.crashes);
    }
}

/// Guards against a poison request that is tried for ever, once in each pause.
#[test]
fn a_poison_request_that_comes_for_minutes_is_convicted() {
    let mut fleet = Fleet::new(3, 3, 6);
    for ms in 0..200_000 {
        let now = begin() + Duration::from_millis(ms);
        if ms % COPY_INTERVAL_MS == 0 {
            fleet.send(now, &[POISON], true);
        }
        fleet.step(now);
    }
    assert_eq!(fleet.crashes.len(), 3, "{:?}", fleet.crashes);
    assert_eq!(fleet.trial_crashes[&POISON], 2);
}

/// Guards against several poison requests of which entries send copies side by side while news of bystanders is held back.
#[test]
fn several_poison_requests_are_each_tried_one_copy_at_a_time() {
    for (entries, poisons) in [(1, 4), (3, 16), (29, 4), (29, 16), (100, 4)] {
        for seed in 0..2 {
            let fleet = several_poisons(seed, entries, 12, poisons, SOUND);
            let most = fleet.trial_crashes.values().max();
            assert!(
                most <= Some(&2),
                "{entries} {poisons}: {:?}",
                fleet.trial_crashes
            );
            assert!(fleet.refused.iter().all(|f| is_poison(*f)));
        }
    }
}

/// Guards against a trial that an entry takes since it has heard of no other one.
#[test]
fn messages_that_are_late_or_lost_cost_time_and_no_servers() {
    let late = Net {
        delay: (1_500, 2_500),
        loss: 0.0,
    };
    let lossy = Net {
        delay: (1, DELAY_MS),
        loss: 0.5,
    };
    for net in [late, lossy] {
        for (entries, poisons, seeds) in [(3, 4, 3), (29, 4, 2), (29, 16, 1)] {
            for seed in 0..seeds {
                let fleet = several_poisons(seed, entries, 12, poisons, net);
                let most = fleet.trial_crashes.values().max();
                assert!(
                    most <= Some(&MAX_TRIAL_CRASHES),
                    "{entries} {net:?}: {:?}",
                    fleet.trial_crashes
                );
            }
        }
    }
}

/// Guards against a relay that starts and sends requests that others refuse, since it is only ever told of the same few.
#[test]
fn an_entry_that_starts_learns_of_all_requests_that_others_refuse() {
    const REFUSED: u64 = 12;
    let now = begin();
    let mut entry = Quarantine::new(address(0));
    for request in 0..REFUSED {
        let exposures = [Exposure::Crowd, Exposure::Trial, Exposure::Trial];
        let marks = exposures
            .iter()
            .enumerate()
            .map(|(number, exposure)| CrashMark {
                exposure: *exposure,
                ..crowd_mark(Fingerprint(request.into()), request * 10 + number as u64)
            });
        let marks = marks.collect();
        entry.merge(now, &SuspectNotice { marks });
    }
    let mut starting = Quarantine::new(address(1));
    for notice in entry.samples(now) {
        starting.merge(now, &notice);
    }
    let requests = (0..REFUSED).map(|request| Fingerprint(request.into()));
    let unknown = requests.filter(|r| starting.verdict(now, &[*r]) != Verdict::Refuse);
    assert_eq!(unknown.count(), 0);
}

/// Guards against a message of a peer that ends each process that receives it.
#[test]
fn any_notice_is_taken_in() {
    fn is_taken_in(bytes: Vec<u8>, ages: Vec<u64>, requests: Vec<u8>) -> bool {
        let mut quarantine = Quarantine::new(address(0));
        let now = Time::from_millis(10);
        if let Ok(Datagram::Suspects(notice)) = peer_messages::decode(&bytes) {
            quarantine.merge(now, &notice);
        }
        for (age, request) in ages.into_iter().zip(requests) {
            let fingerprint = Fingerprint(u128::from(request % 3));
            let mark = CrashMark {
                fingerprint,
                crash: CrashId(age % 5),
                exposure: [Exposure::Crowd, Exposure::Trial, Exposure::Alone][(age % 3) as usize],
                run: age as u32,
                cleared: age % 7 == 0,
                age,
            };
            quarantine.merge(
                now,
                &SuspectNotice {
                    marks: vec![mark.clone()],
                },
            );
            let request = TrialRequest {
                trial: age,
                suspects: vec![fingerprint],
                service: fingerprint,
                servers: age as u16,
                entry: address((age % 3) as usize),
                hops: age as u8,
            };
            let marks = vec![mark];
            quarantine.handle(now, TrialMessage::Request(request));
            quarantine.handle(
                now,
                TrialMessage::Reply(TrialReply {
                    trial: age,
                    service: fingerprint,
                    granted: true,
                    paused: Some(age as u32),
                    marks: marks.clone(),
                }),
            );
            let candidate = Candidate {
                subjects: vec![fingerprint],
                service: fingerprint,
                servers: 0,
            };
            quarantine.admit(now, &candidate, age);
            quarantine.advance_trials(now);
            quarantine.handle(
                now,
                TrialMessage::End(TrialEnd {
                    trial: age,
                    service: fingerprint,
                    suspects: vec![fingerprint],
                    marks,
                    is_unresolved: true,
                }),
            );
            quarantine.listing(now);
            quarantine.samples(now);
            quarantine.take_unsent(now);
        }
        true
    }
    let property = is_taken_in as fn(Vec<u8>, Vec<u64>, Vec<u8>) -> bool;
    QuickCheck::new().tests(500).quickcheck(property);
}
