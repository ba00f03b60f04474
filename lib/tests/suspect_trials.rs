//! Tests of the trials of suspected poison requests and of who grants them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::arbiter_route::ArbiterRoute;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::suspect_trials::Arbiter;
use cicada_lib::suspect_trials::OwnTrials;
use cicada_lib::suspect_trials::TRIAL_LEASE;
use cicada_lib::suspect_trials::TrialRequest;
use cicada_lib::time::Time;
use quickcheck::QuickCheck;

const SUSPECT: Fingerprint = Fingerprint(1);
const SERVICE: Fingerprint = Fingerprint(0);
const MS: Duration = Duration::from_millis(1);

/// Longer than any pause after a trial whose end is unknown.
const LONG: Duration = Duration::from_secs(20);

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, number))
}

fn request(trial: u64, content: Fingerprint, servers: u16) -> TrialRequest {
    TrialRequest {
        trial,
        suspects: vec![content],
        service: SERVICE,
        servers,
        entry: entry(1),
        hops: 0,
    }
}

fn granted(arbiter: &mut Arbiter, now: Time) -> Vec<u64> {
    let grants = arbiter.take_grants(now, |_, _| true);
    grants.iter().map(|request| request.trial).collect()
}

/// Guards against two entries that hold the same trial since answers or renewals are late or lost.
#[test]
fn two_entries_never_hold_the_same_trial() {
    fn one_at_most(delays: Vec<u16>) -> bool {
        let mut arbiter = Arbiter::default();
        let mut entries = [OwnTrials::default(), OwnTrials::default()];
        // On their way: when they arrive, from or to whom, and whether a request is granted.
        let mut asks: Vec<(Time, usize)> = Vec::new();
        let mut answers: Vec<(Time, usize, bool)> = Vec::new();
        let mut delays = delays.into_iter().cycle().filter(|delay| delay % 5 != 0);
        let begun = Time::from_millis(10);
        entries[0].begin(request(0, SUSPECT, 3));
        entries[1].begin(request(1, SUSPECT, 3));
        let mut reached = |now: Time| delays.next().map(|d| now + MS * u32::from(d % 4_000));
        for step in 0..600 {
            let now = begun + MS * 20 * step;
            for (own, entry) in entries.iter_mut().enumerate() {
                for _ in entry.take_due(now) {
                    asks.extend(reached(now).map(|at| (at, own)));
                }
            }
            let due: Vec<usize> = asks.extract_if(.., |a| a.0 <= now).map(|a| a.1).collect();
            for own in due {
                let held = arbiter.ask(now, &request(own as u64, SUSPECT, 3));
                answers.extend(reached(now).map(|at| (at, own, held)));
            }
            for grant in arbiter.take_grants(now, |_, _| true) {
                answers.extend(reached(now).map(|at| (at, grant.trial as usize, true)));
            }
            for (_, own, held) in answers.extract_if(.., |a| a.0 <= now) {
                entries[own].answered(own as u64, held);
            }
            if entries[0].is_held(now, 0) && entries[1].is_held(now, 1) {
                return false;
            }
        }
        true
    }
    fn property(delays: Vec<u16>) -> bool {
        delays.iter().all(|delay| delay % 5 == 0) || one_at_most(delays)
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<u16>) -> bool);
}

/// Guards against a suspect that nobody tries any more since the holder of its trial is gone, or that is tried at once
/// though the trial may have crashed a server.
#[test]
fn a_trial_whose_holder_is_gone_lapses() {
    let mut arbiter = Arbiter::default();
    let begun = Time::from_millis(10);
    arbiter.ask(begun, &request(1, SUSPECT, 3));
    assert_eq!(granted(&mut arbiter, begun), [1]);
    let lapsed = begun + TRIAL_LEASE;
    arbiter.ask(lapsed, &request(2, SUSPECT, 3));
    assert!(granted(&mut arbiter, begun + (TRIAL_LEASE - MS)).is_empty());
    assert!(granted(&mut arbiter, lapsed).is_empty());
    arbiter.ask(lapsed + LONG, &request(2, SUSPECT, 3));
    assert_eq!(granted(&mut arbiter, lapsed + LONG), [2]);
}

/// Guards against a second copy that is granted a trial while the first is still on trial.
#[test]
fn a_trial_that_is_renewed_is_granted_to_no_other_copy() {
    let mut arbiter = Arbiter::default();
    let begun = Time::from_millis(10);
    arbiter.ask(begun, &request(5, SUSPECT, 30));
    assert_eq!(granted(&mut arbiter, begun), [5]);
    for second in 0..6 {
        let now = begun + MS * 1_000 * second;
        assert!(arbiter.ask(now, &request(5, SUSPECT, 30)));
        assert!(!arbiter.ask(now, &request(1, SUSPECT, 30)));
        assert!(granted(&mut arbiter, now).is_empty());
    }
    arbiter.end(SERVICE, 5);
    assert_eq!(granted(&mut arbiter, begun + MS * 5_000), [1]);
}

/// Guards against a request that arrives after its end and occupies the service's trial.
#[test]
fn a_request_that_arrives_after_its_end_holds_nobody_up_for_long() {
    let mut arbiter = Arbiter::default();
    let begun = Time::from_millis(10);
    arbiter.end(SERVICE, 5);
    arbiter.ask(begun, &request(5, SUSPECT, 3));
    assert_eq!(granted(&mut arbiter, begun), [5]);
    // The entry that gets the late grant ends it.
    let mut late = OwnTrials::default();
    assert!(!late.answered(5, true));
    arbiter.end(SERVICE, 5);
    arbiter.ask(begun, &request(6, SUSPECT, 3));
    assert_eq!(granted(&mut arbiter, begun), [6]);
}

/// Guards against several suspects of one service that take all of its servers on trial together.
#[test]
fn trials_of_a_service_are_few_and_single_after_a_crash() {
    let mut arbiter = Arbiter::default();
    let now = Time::from_millis(10);
    for suspect in 0..10 {
        arbiter.ask(now, &request(suspect, Fingerprint(u128::from(suspect)), 6));
    }
    assert_eq!(granted(&mut arbiter, now), [0, 1]);
    arbiter.record_crash(now, SERVICE);
    arbiter.end(SERVICE, 0);
    assert!(granted(&mut arbiter, now).is_empty());
    arbiter.end(SERVICE, 1);
    assert_eq!(granted(&mut arbiter, now), [2]);
}

/// Guards against an arbiter that is gone and that all entries go on asking.
#[test]
fn a_silent_arbiter_is_passed_over_and_its_leases_respected() {
    let now = Time::from_millis(60_000);
    let entries = [1, 2, 3, 4].map(entry);
    let mut routes = entries.map(ArbiterRoute::new);
    for route in &mut routes {
        let own = route.own();
        route.set_entries(entries.into_iter().filter(|e| *e != own).collect());
    }
    let first = routes[0].arbiter(now, SERVICE);
    assert!(routes.iter_mut().all(|r| r.arbiter(now, SERVICE) == first));
    let later = now + Duration::from_millis(500);
    for route in routes.iter_mut().filter(|r| r.own() != first) {
        route.record_asked(now, first);
        let second = route.arbiter(later, SERVICE);
        assert_ne!(second, first);
        if second == route.own() {
            assert_eq!(route.may_grant_at(SERVICE), later + TRIAL_LEASE);
        }
        route.record_heard(first);
        assert_eq!(route.arbiter(later, SERVICE), first);
    }
}

/// Guards against each entry becoming its own arbiter where all messages are late.
#[test]
fn only_a_few_entries_ever_become_arbiters() {
    let entries: Vec<SocketAddr> = (1..=30).map(entry).collect();
    let mut arbiters = 0;
    for own in &entries {
        let mut route = ArbiterRoute::new(*own);
        route.set_entries(entries.iter().copied().filter(|e| e != own).collect());
        let mut now = Time::from_millis(60_000);
        let mut is_arbiter = false;
        for _ in 0..20 {
            let arbiter = route.arbiter(now, SERVICE);
            is_arbiter |= arbiter == *own;
            route.record_asked(now, arbiter);
            now = now + Duration::from_millis(500);
        }
        arbiters += usize::from(is_arbiter);
    }
    assert_eq!(arbiters, 3);
}

/// Guards against a suspect that is tried again and again though no trial of it shows an outcome.
#[test]
fn trials_without_a_known_outcome_come_ever_more_seldom() {
    let mut arbiter = Arbiter::default();
    let mut trials = Vec::new();
    for second in 0..200 {
        let now = Time::ZERO + Duration::from_secs(second);
        arbiter.ask(now, &request(second, SUSPECT, 3));
        for trial in granted(&mut arbiter, now) {
            arbiter.end(SERVICE, trial);
            arbiter.record_unresolved(now, &[SUSPECT]);
            trials.push(second);
        }
    }
    assert_eq!(trials, [0, 10, 30, 70, 150]);
    arbiter.record_success(&[SUSPECT]);
    let now = Time::ZERO + Duration::from_secs(201);
    arbiter.ask(now, &request(201, SUSPECT, 3));
    assert_eq!(granted(&mut arbiter, now), [201]);
}
