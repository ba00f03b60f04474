//! Tests of the scheduler's interface as used by the daemon.

use std::time::Duration;

use cicada_lib::backend::EngineLoad;
use cicada_lib::ids::Name;
use cicada_lib::latency_objective::LatencyObjective;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::scheduler::Action;
use cicada_lib::scheduler::JobSpec;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::scheduler::SchedulerSettings;
use cicada_lib::time::Time;

fn job(workspace: &str) -> JobSpec {
    JobSpec {
        workspace: Name::new(workspace),
        kind: Name::new("model"),
        prompt_tokens: 10,
        max_tokens: 100,
        deadline: None,
        elsewhere: 0,
        retried: false,
    }
}

fn scheduler(max_batch: u32) -> Scheduler {
    Scheduler::new(SchedulerSettings::new(
        LatencyObjective::Stall,
        0,
        max_batch,
    ))
}

#[test]
fn starts_jobs_up_to_the_batch_size() {
    let mut scheduler = scheduler(1);
    let first = scheduler.offer(Time::ZERO, job("a")).unwrap();
    let second = scheduler.offer(Time::ZERO, job("a")).unwrap();
    assert_eq!(
        scheduler.next_action(Time::ZERO),
        Some(Action::Start(first))
    );
    assert_eq!(scheduler.next_action(Time::ZERO), None);
    scheduler.finished(Time::from_millis(5), first);
    assert_eq!(
        scheduler.next_action(Time::from_millis(5)),
        Some(Action::Start(second))
    );
    assert_eq!(scheduler.next_action(Time::from_millis(5)), None);
}

// A deadline passes while the job runs. The job must be aborted exactly once, at the deadline, and
// free its slot when it has ended.
#[test]
fn aborts_once_past_the_deadline() {
    let mut scheduler = scheduler(1);
    let mut spec = job("a");
    spec.deadline = Some(Time::from_millis(100));
    let key = scheduler.offer(Time::ZERO, spec).unwrap();
    assert_eq!(scheduler.next_action(Time::ZERO), Some(Action::Start(key)));
    assert_eq!(
        scheduler.next_wakeup(Time::ZERO),
        Some(Time::from_millis(100))
    );
    assert_eq!(
        scheduler.next_action(Time::from_millis(100)),
        Some(Action::Abort(key))
    );
    assert_eq!(scheduler.next_action(Time::from_millis(101)), None);
    scheduler.finished(Time::from_millis(101), key);
    assert_eq!(scheduler.load_summary(Time::from_millis(101)).running, 0);
}

// The process drains. Each queued request must be refused with proof that it did not run, and
// running jobs must not be affected.
#[test]
fn drain_refuses_only_queued_jobs() {
    let mut scheduler = scheduler(1);
    let running = scheduler.offer(Time::ZERO, job("a")).unwrap();
    let waiting = scheduler.offer(Time::ZERO, job("b")).unwrap();
    assert_eq!(
        scheduler.next_action(Time::ZERO),
        Some(Action::Start(running))
    );
    let drained = scheduler.drain(Time::ZERO);
    assert_eq!(drained.len(), 1);
    assert_eq!(drained[0].job, waiting);
    assert_eq!(drained[0].refusal.reason(), RefusalReason::Draining);
    let refusal = scheduler.offer(Time::ZERO, job("a")).unwrap_err();
    assert_eq!(refusal.reason(), RefusalReason::Draining);
    assert_eq!(scheduler.load_summary(Time::ZERO).running, 1);
}

fn engine_report(capacity_tokens: u64) -> EngineLoad {
    EngineLoad {
        running: 0,
        waiting: 0,
        used_tokens: 0,
        capacity_tokens,
        preemptions: 0,
        step_micros: 20_000,
        incarnation: 1,
        models: Vec::new(),
        role: Name::new("mixed"),
        fence: 0,
    }
}

// The agent starts before its engine has reported its memory capacity. From the first report on,
// only jobs that fit may start.
#[test]
fn memory_plan_uses_the_capacity_reported_by_the_engine() {
    let mut scheduler = scheduler(8);
    scheduler.engine_load(Time::ZERO, &engine_report(1_500));
    let mut large = job("a");
    large.prompt_tokens = 1_000;
    let first = scheduler.offer(Time::ZERO, large.clone()).unwrap();
    scheduler.offer(Time::ZERO, large).unwrap();
    assert_eq!(
        scheduler.next_action(Time::ZERO),
        Some(Action::Start(first))
    );
    assert_eq!(scheduler.next_action(Time::ZERO), None);
    assert_eq!(scheduler.load_summary(Time::ZERO).free_tokens, 500);
}

// A token is in flight when its generation is paused. Memory accounting must be balanced after the
// generation has resumed and ended.
#[test]
fn token_in_flight_during_a_pause_is_counted() {
    let mut scheduler = scheduler(8);
    scheduler.engine_load(Time::ZERO, &engine_report(2_000));
    let mut spec = job("a");
    spec.prompt_tokens = 900;
    let keys = [spec.clone(), spec].map(|spec| scheduler.offer(Time::ZERO, spec).unwrap());
    for key in keys {
        assert_eq!(scheduler.next_action(Time::ZERO), Some(Action::Start(key)));
    }
    let mut now = Time::ZERO;
    let mut steps = 0;
    let paused = loop {
        steps += 1;
        now = now + Duration::from_millis(20);
        keys.iter()
            .for_each(|&key| scheduler.token_produced(now, key));
        match scheduler.next_action(now) {
            Some(Action::Pause(key)) => break key,
            other => assert_eq!(other, None),
        }
    };
    scheduler.token_produced(now, paused);
    let other = if keys[0] == paused { keys[1] } else { keys[0] };
    scheduler.finished(now, other);
    assert_eq!(scheduler.next_action(now), Some(Action::Resume(paused)));
    scheduler.token_produced(now, paused);
    scheduler.finished(now, paused);
    // Both prompts at a tenth of their tokens, a token of each job for each step, and two more of
    // the paused job.
    assert_eq!(
        scheduler.tokens_served(&Name::new("a")),
        180 + 2 * steps + 2
    );
    let summary = scheduler.load_summary(now);
    assert_eq!(
        (summary.free_tokens, summary.running, summary.preemptions),
        (2_000, 0, 1)
    );
}
