//! Tests of the detection of poison requests, which crash the backend servers that run them.

use std::time::Duration;

use cicada_lib::crash_mark::CrashId;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::crash_mark::Exposure;
use cicada_lib::crash_mark::MARK_LIFETIME;
use cicada_lib::crash_mark::News;
use cicada_lib::crash_mark::Verdict;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::ids::Name;
use cicada_lib::suspects::MAX_MARKS;
use cicada_lib::suspects::Suspects;
use cicada_lib::time::Time;
use cicada_lib::trial_pause::TRIAL_BACKOFF;
use quickcheck::QuickCheck;

const POISON: Fingerprint = Fingerprint(1);

fn batch(from: u128, size: u128) -> Vec<Fingerprint> {
    (from..from + size).map(Fingerprint).collect()
}

/// A set of agents. Entries exchange their evidence after each step.
struct Fleet {
    agents: Vec<Suspects>,
    crashes: u64,
    now: Time,
}

impl Fleet {
    fn new(agents: usize) -> Self {
        Fleet {
            agents: (0..agents).map(|_| Suspects::new()).collect(),
            crashes: 0,
            now: Time::ZERO,
        }
    }

    /// Runs the request at an agent, concurrently with `others` if allowed. Returns whether it was
    /// refused.
    fn run(&mut self, agent: usize, request: Fingerprint, others: &[Fingerprint]) -> bool {
        let mut running = vec![request];
        match self.agents[agent].verdict(self.now, request) {
            Verdict::Refuse => return true,
            Verdict::Isolate => {}
            Verdict::Allow => running.extend(others),
        }
        if running.contains(&POISON) {
            self.crashes += 1;
            let crash = CrashId(self.crashes);
            self.agents[agent].record_crash(self.now, crash, &running);
        } else {
            self.agents[agent].record_success(request);
        }
        false
    }

    fn exchange_marks(&mut self) {
        let all: Vec<CrashMark> = self
            .agents
            .iter()
            .flat_map(|a| a.marks_since(self.now, 0))
            .collect();
        for agent in &mut self.agents {
            agent.merge(self.now, &all);
        }
    }
}

#[test]
fn a_poison_request_retried_through_any_entry_costs_two_servers() {
    // A caller keeps retrying a request that crashes each engine, each time through another entry to
    // another agent. The first crash makes its whole batch suspect, the second occurs while the request
    // runs alone, and from then on every agent must refuse it.
    let mut fleet = Fleet::new(12);
    let others = batch(100, 40);
    let mut refused = 0;
    for turn in 0..60 {
        refused += u32::from(fleet.run(turn % 12, POISON, &others));
        fleet.exchange_marks();
    }
    assert_eq!(fleet.crashes, 2);
    assert_eq!(refused, 58);
}

#[test]
fn concurrent_requests_are_cleared_when_the_poison_request_is_found() {
    // Forty requests of other callers were in the batch that the poison request crashed. They are
    // retried, and must no longer wait for an idle engine once the poison request is identified.
    let mut fleet = Fleet::new(3);
    let others = batch(100, 40);
    fleet.run(0, POISON, &others);
    fleet.exchange_marks();
    let now = fleet.now;
    assert_eq!(fleet.agents[2].verdict(now, others[7]), Verdict::Isolate);
    fleet.run(1, POISON, &others);
    fleet.exchange_marks();
    for agent in &fleet.agents {
        assert_eq!(agent.verdict(now, POISON), Verdict::Refuse);
        assert!(
            others
                .iter()
                .all(|f| agent.verdict(now, *f) == Verdict::Allow)
        );
    }
}

#[test]
fn a_harmless_suspect_that_succeeds_alone_is_cleared_everywhere() {
    let mut fleet = Fleet::new(3);
    let others = batch(100, 2);
    fleet.run(0, POISON, &others);
    fleet.exchange_marks();
    fleet.run(1, others[0], &[]);
    fleet.exchange_marks();
    assert_eq!(
        fleet.agents[2].verdict(fleet.now, others[0]),
        Verdict::Allow
    );
    assert_eq!(
        fleet.agents[2].verdict(fleet.now, others[1]),
        Verdict::Isolate
    );
}

#[test]
fn one_crash_alone_is_no_proof() {
    // Engines also crash for other reasons. A request that was the only one running at such a crash
    // must get another attempt.
    let mut suspects = Suspects::new();
    suspects.record_crash(Time::ZERO, CrashId(1), &[POISON]);
    assert_eq!(suspects.verdict(Time::ZERO, POISON), Verdict::Isolate);
}

#[test]
fn a_mark_received_twice_counts_once() {
    let mut suspects = Suspects::new();
    suspects.record_crash(Time::ZERO, CrashId(1), &[POISON]);
    let marks = suspects.marks_since(Time::ZERO, 0);
    suspects.merge(Time::ZERO, &marks);
    suspects.merge(Time::ZERO, &marks);
    assert_eq!(suspects.verdict(Time::ZERO, POISON), Verdict::Isolate);
    assert_eq!(suspects.len(), 1);
}

#[test]
fn evidence_expires_and_is_bounded() {
    let mut suspects = Suspects::new();
    suspects.record_crash(Time::ZERO, CrashId(1), &[POISON]);
    let later = Time::ZERO + MARK_LIFETIME;
    assert_eq!(suspects.verdict(later, POISON), Verdict::Allow);
    for crash in 2..200 {
        let running = batch(u128::from(crash) * 1_000, 300);
        suspects.record_crash(later, CrashId(crash), &running);
        assert!(suspects.len() <= MAX_MARKS);
    }
}

#[test]
fn fingerprints_separate_service_model_and_prompt() {
    let of =
        |s: &str, m: &str, p: &str| Fingerprint::new(&Name::new(s), &Name::new(m), p.as_bytes());
    assert_eq!(of("a", "b", "c"), of("a", "b", "c"));
    assert_ne!(of("a", "bc", ""), of("a", "b", "c"));
    assert_ne!(of("ab", "", "c"), of("a", "b", "c"));
}

#[test]
fn verdicts_do_not_depend_on_the_order_of_marks() {
    fn same(crashes: Vec<(u8, bool)>, order: Vec<usize>) -> bool {
        let now = Time::from_millis(1);
        let mut first = Suspects::new();
        for (i, (who, alone)) in crashes.iter().enumerate() {
            let who = u128::from(who % 4);
            let running = if *alone { batch(who, 1) } else { batch(who, 3) };
            first.record_crash(now, CrashId(i as u64), &running);
            if who == 3 {
                first.record_success(Fingerprint(3));
            }
        }
        let mut marks = first.marks_since(now, 0);
        for (i, to) in order.iter().enumerate() {
            let len = marks.len();
            if len > 0 {
                marks.swap(i % len, to % len);
            }
        }
        let mut second = Suspects::new();
        for mark in &marks {
            second.merge(now, std::slice::from_ref(mark));
        }
        (0..8).all(|f| first.verdict(now, Fingerprint(f)) == second.verdict(now, Fingerprint(f)))
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(same as fn(Vec<(u8, bool)>, Vec<usize>) -> bool);
}

#[test]
fn a_mark_expires_at_the_same_moment_on_clocks_with_different_origins() {
    // Marks carry ages rather than times, since the clocks of two processes have different origins.
    let mut agent = Suspects::new();
    agent.record_crash(Time::from_millis(10_000_000), CrashId(1), &[POISON]);
    let sent_at = Time::from_millis(10_060_000);
    let mut entry = Suspects::new();
    entry.merge(Time::from_millis(100_000), &agent.marks_since(sent_at, 0));
    let end = Time::from_millis(40_000) + MARK_LIFETIME;
    assert_eq!(entry.verdict(end, POISON), Verdict::Allow);
    let before = Time::from_millis(39_000) + MARK_LIFETIME;
    assert_eq!(entry.verdict(before, POISON), Verdict::Isolate);
}

fn mark(fingerprint: Fingerprint, crash: u64, exposure: Exposure) -> CrashMark {
    CrashMark {
        fingerprint,
        crash: CrashId(crash),
        exposure,
        run: match exposure {
            Exposure::Trial => fingerprint.0 as u32,
            _ => 0,
        },
        cleared: false,
        age: 0,
    }
}

/// Guards against a request that many callers send and that is refused since several servers crashed at once.
#[test]
fn crashes_at_the_same_moment_do_not_convict_a_hot_request() {
    let mut suspects = Suspects::new();
    for crash in 0..50 {
        let at = Time::from_millis(crash * 10);
        suspects.merge(at, &[mark(POISON, crash, Exposure::Crowd)]);
    }
    let now = Time::from_millis(600);
    assert_eq!(suspects.verdict(now, POISON), Verdict::Isolate);
    suspects.record_success(POISON);
    assert_eq!(suspects.verdict(now, POISON), Verdict::Allow);
    assert!(!suspects.has_open_marks());
}

/// Guards against a request that is refused on less evidence than three crashes, or not refused on that.
#[test]
fn three_crashes_of_which_two_on_trial_convict() {
    let now = Time::from_millis(1);
    let mut suspects = Suspects::new();
    suspects.merge(now, &[mark(POISON, 1, Exposure::Crowd)]);
    assert_eq!(suspects.paused_for(now, POISON), None);
    suspects.merge(now, &[mark(POISON, 2, Exposure::Trial)]);
    assert_eq!(suspects.verdict(now, POISON), Verdict::Isolate);
    assert_eq!(suspects.paused_for(now, POISON), Some(TRIAL_BACKOFF));
    suspects.merge(now, &[mark(POISON, 3, Exposure::Trial)]);
    assert_eq!(suspects.verdict(now, POISON), Verdict::Refuse);
    assert_eq!(suspects.refused_for(now, POISON), Some(MARK_LIFETIME));
}

/// Guards against bystanders that stay suspect since their mark comes from another process, after the proof.
#[test]
fn marks_that_arrive_after_the_proof_are_cleared() {
    let now = Time::from_millis(1);
    let mut suspects = Suspects::new();
    let exposures = [Exposure::Crowd, Exposure::Trial, Exposure::Trial];
    for (crash, exposure) in exposures.into_iter().enumerate() {
        suspects.merge(now, &[mark(POISON, crash as u64, exposure)]);
    }
    let bystander = Fingerprint(2);
    suspects.merge(now, &[mark(bystander, 1, Exposure::Crowd)]);
    assert_eq!(suspects.verdict(now, bystander), Verdict::Allow);
    assert_eq!(suspects.verdict(now, POISON), Verdict::Refuse);
}

/// Guards against two relays that count the same crash twice.
#[test]
fn a_crash_has_the_same_identifier_for_all_who_see_it() {
    let (a, b) = (Name::new("i-1"), Name::new("i-2"));
    assert_eq!(CrashId::of_server(&a, 7), CrashId::of_server(&a, 7));
    assert_ne!(CrashId::of_server(&a, 7), CrashId::of_server(&a, 8));
    assert_ne!(CrashId::of_server(&a, 7), CrashId::of_server(&b, 7));
}

#[test]
fn changes_are_passed_on_page_by_page() {
    let now = Time::from_millis(1);
    let mut first = Suspects::new();
    for crash in 0..90 {
        let request = Fingerprint(u128::from(crash));
        first.merge(now, &[mark(request, crash, Exposure::Crowd)]);
    }
    let mut second = Suspects::new();
    let mut told = 0;
    while told < first.revision() {
        let (marks, next) = first.next_changes(now, News::Suspicion, told, 20);
        assert!(marks.len() <= 20 && next > told);
        second.merge(now, &marks);
        told = next;
    }
    assert_eq!(second.len(), 90);
}

/// Guards against a conviction that is undone since another request that ran at the same crashes is convicted too.
#[test]
fn a_conviction_outlives_that_of_another_request() {
    let now = Time::from_millis(1);
    let other = Fingerprint(2);
    let marks = [
        mark(POISON, 1, Exposure::Crowd),
        mark(POISON, 2, Exposure::Trial),
        mark(POISON, 3, Exposure::Trial),
        mark(other, 1, Exposure::Crowd),
        mark(other, 2, Exposure::Trial),
        mark(other, 4, Exposure::Trial),
    ];
    for first in 0..marks.len() {
        for step in [1, 5] {
            let (mut suspects, mut told) = (Suspects::new(), Suspects::new());
            for place in 0..marks.len() {
                let next = marks[(first + place * step) % marks.len()].clone();
                suspects.merge(now, &[next]);
                told.merge(now, &suspects.marks_since(now, 0));
            }
            for process in [&suspects, &told] {
                assert_eq!(process.verdict(now, POISON), Verdict::Refuse);
                assert_eq!(process.verdict(now, other), Verdict::Refuse);
            }
        }
    }
}

/// Guards against a suspect that is sent beside others since a proof, lifted by now, explained its crash.
#[test]
fn what_a_lifted_proof_explained_counts_again() {
    let now = Time::from_millis(1);
    let bystander = Fingerprint(2);
    let mut suspects = Suspects::new();
    suspects.merge(now, &[mark(bystander, 1, Exposure::Crowd)]);
    for (crash, exposure) in [
        (1, Exposure::Crowd),
        (2, Exposure::Trial),
        (3, Exposure::Trial),
    ] {
        suspects.merge(now, &[mark(POISON, crash, exposure)]);
    }
    assert_eq!(suspects.verdict(now, bystander), Verdict::Allow);
    suspects.record_success(POISON);
    assert_eq!(suspects.verdict(now, POISON), Verdict::Allow);
    assert_eq!(suspects.verdict(now, bystander), Verdict::Isolate);
}

/// Guards against a suspect that waits though the crash that it waits for had another cause.
#[test]
fn a_crash_on_trial_with_another_cause_delays_no_trial() {
    let now = Time::from_millis(1);
    let bystander = Fingerprint(2);
    let mut suspects = Suspects::new();
    suspects.merge(now, &[mark(bystander, 0, Exposure::Crowd)]);
    suspects.merge(now, &[mark(bystander, 1, Exposure::Trial)]);
    assert_eq!(suspects.paused_for(now, bystander), Some(TRIAL_BACKOFF));
    for (crash, exposure) in [
        (1, Exposure::Crowd),
        (2, Exposure::Trial),
        (3, Exposure::Trial),
    ] {
        suspects.merge(now, &[mark(POISON, crash, exposure)]);
    }
    assert_eq!(suspects.paused_for(now, bystander), None);
    assert_eq!(suspects.verdict(now, bystander), Verdict::Isolate);
}

/// Guards against a sound request that waits for a minute since a poison request, let go when another one was proved to be
/// the cause of its first crash, crashed the server of its trial.
#[test]
fn a_crash_beside_a_request_as_suspect_delays_no_trial() {
    let (sound, rival) = (Fingerprint(2), Fingerprint(3));
    let (begun, now) = (Time::from_millis(1), Time::from_millis(10_000));
    let mut suspects = Suspects::new();
    suspects.merge(begun, &[mark(rival, 1, Exposure::Crowd)]);
    suspects.merge(now, &[mark(sound, 2, Exposure::Crowd)]);
    suspects.merge(now, &[mark(sound, 3, Exposure::Trial)]);
    assert_eq!(suspects.paused_for(now, sound), Some(TRIAL_BACKOFF));
    suspects.merge(now, &[mark(rival, 3, Exposure::Crowd)]);
    assert_eq!(suspects.paused_for(now, sound), None);
    // The server of its trial was not that of the rival's last crash.
    let elsewhere = Fingerprint(4);
    suspects.merge(now, &[mark(elsewhere, 4, Exposure::Trial)]);
    suspects.merge(now, &[mark(rival, 5, Exposure::Crowd)]);
    assert_eq!(suspects.paused_for(now, elsewhere), Some(TRIAL_BACKOFF));
    suspects.record_success(rival);
    assert_eq!(suspects.paused_for(now, sound), Some(TRIAL_BACKOFF));
}

/// Guards against a poison request that is tried again and again since a request that many callers send was in flight at
/// its crashes of one moment.
#[test]
fn a_bystander_at_the_crashes_of_one_moment_ends_no_pause() {
    let now = Time::from_millis(1);
    let bystander = Fingerprint(2);
    let mut suspects = Suspects::new();
    for (crash, exposure) in [(1, Exposure::Crowd), (2, Exposure::Trial)] {
        suspects.merge(now, &[mark(POISON, crash, exposure)]);
        suspects.merge(now, &[mark(bystander, crash, Exposure::Crowd)]);
    }
    assert_eq!(suspects.paused_for(now, POISON), Some(TRIAL_BACKOFF));
}

/// Guards against two relays that take one crash for two since one of them notices it late.
#[test]
fn a_crash_is_another_one_only_if_the_server_accepted_connections_since() {
    let (first, again) = (CrashId(7), Time::from_millis(900));
    let mut suspects = Suspects::new();
    suspects.merge(
        Time::from_millis(500),
        &[mark(POISON, first.0, Exposure::Crowd)],
    );
    let opened_before = Time::from_millis(499);
    assert_eq!(suspects.crash_after(&[POISON], first, opened_before), first);
    assert_ne!(suspects.crash_after(&[POISON], first, again), first);
    assert_eq!(suspects.crash_after(&[Fingerprint(2)], first, again), first);
}

/// Guards against evidence that a process lacks after a restart since newer marks of bystanders fill the samples.
#[test]
fn samples_begin_with_what_crashed_servers_on_trial() {
    let mut suspects = Suspects::new();
    let begun = Time::from_millis(1);
    suspects.merge(begun, &[mark(POISON, 0, Exposure::Crowd)]);
    suspects.merge(begun, &[mark(POISON, 1, Exposure::Trial)]);
    for bystander in 0..100 {
        let later = begun + Duration::from_secs(1);
        let fingerprint = Fingerprint(1_000 + bystander);
        suspects.merge(later, &[mark(fingerprint, 2, Exposure::Crowd)]);
    }
    let sample = suspects.sample(Time::from_millis(2_000), 20);
    assert_eq!(sample.iter().filter(|m| m.fingerprint == POISON).count(), 2);
}
