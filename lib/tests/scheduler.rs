//! The scheduler's interface as the daemon uses it.

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
        returning: false,
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
fn starts_up_to_the_batch() {
    let mut scheduler = scheduler(1);
    let first = scheduler.offer(Time::ZERO, job("a")).unwrap();
    let second = scheduler.offer(Time::ZERO, job("a")).unwrap();
    assert_eq!(scheduler.next(Time::ZERO), Some(Action::Start(first)));
    assert_eq!(scheduler.next(Time::ZERO), None);
    scheduler.finished(Time::from_millis(5), first);
    assert_eq!(
        scheduler.next(Time::from_millis(5)),
        Some(Action::Start(second))
    );
    assert_eq!(scheduler.next(Time::from_millis(5)), None);
}

// The caller's deadline passes while its job runs. It must be told once, then, and the job must
// hold no place afterwards.
#[test]
fn aborts_once_past_the_deadline() {
    let mut scheduler = scheduler(1);
    let mut spec = job("a");
    spec.deadline = Some(Time::from_millis(100));
    let key = scheduler.offer(Time::ZERO, spec).unwrap();
    assert_eq!(scheduler.next(Time::ZERO), Some(Action::Start(key)));
    assert_eq!(
        scheduler.next_wakeup(Time::ZERO),
        Some(Time::from_millis(100))
    );
    assert_eq!(
        scheduler.next(Time::from_millis(100)),
        Some(Action::Abort(key))
    );
    assert_eq!(scheduler.next(Time::from_millis(101)), None);
    scheduler.finished(Time::from_millis(101), key);
    assert_eq!(scheduler.summary(Time::from_millis(101)).running, 0);
}

// The process leaves. Each waiting caller must get the proof that its request did not run, and
// what runs must be left alone.
#[test]
fn drain_gives_back_only_what_waits() {
    let mut scheduler = scheduler(1);
    let running = scheduler.offer(Time::ZERO, job("a")).unwrap();
    let waiting = scheduler.offer(Time::ZERO, job("b")).unwrap();
    assert_eq!(scheduler.next(Time::ZERO), Some(Action::Start(running)));
    let drained = scheduler.drain(Time::ZERO);
    assert_eq!(drained.len(), 1);
    assert_eq!(drained[0].job, waiting);
    assert_eq!(drained[0].refusal.reason(), RefusalReason::Draining);
    let refusal = scheduler.offer(Time::ZERO, job("a")).unwrap_err();
    assert_eq!(refusal.reason(), RefusalReason::Draining);
    assert_eq!(scheduler.summary(Time::ZERO).running, 1);
}

fn report(capacity_tokens: u64) -> EngineLoad {
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

// The agent starts before its engine has said how much memory it has. From the first report on, no
// more may be started than fits.
#[test]
fn plans_with_the_capacity_that_the_engine_reports() {
    let mut scheduler = scheduler(8);
    scheduler.engine_load(Time::ZERO, &report(1_500));
    let mut large = job("a");
    large.prompt_tokens = 1_000;
    let first = scheduler.offer(Time::ZERO, large.clone()).unwrap();
    scheduler.offer(Time::ZERO, large).unwrap();
    assert_eq!(scheduler.next(Time::ZERO), Some(Action::Start(first)));
    assert_eq!(scheduler.next(Time::ZERO), None);
    assert_eq!(scheduler.summary(Time::ZERO).free_tokens, 500);
}

// A token is on its way while the order to displace its generation goes out. The account of the
// memory must come out even when the generation has run again and ended.
#[test]
fn token_that_crosses_a_pause_is_counted() {
    let mut scheduler = scheduler(8);
    scheduler.engine_load(Time::ZERO, &report(2_000));
    let mut spec = job("a");
    spec.prompt_tokens = 900;
    let keys = [spec.clone(), spec].map(|spec| scheduler.offer(Time::ZERO, spec).unwrap());
    for key in keys {
        assert_eq!(scheduler.next(Time::ZERO), Some(Action::Start(key)));
    }
    let mut now = Time::ZERO;
    let mut steps = 0;
    let paused = loop {
        steps += 1;
        now = now + Duration::from_millis(20);
        keys.iter().for_each(|&key| scheduler.token(now, key));
        match scheduler.next(now) {
            Some(Action::Pause(key)) => break key,
            other => assert_eq!(other, None),
        }
    };
    scheduler.token(now, paused);
    let other = if keys[0] == paused { keys[1] } else { keys[0] };
    scheduler.finished(now, other);
    assert_eq!(scheduler.next(now), Some(Action::Resume(paused)));
    scheduler.token(now, paused);
    scheduler.finished(now, paused);
    // Both prompts at a tenth, a token for each step of both, and two of the one displaced.
    assert_eq!(
        scheduler.service_given(&Name::new("a")),
        180 + 2 * steps + 2
    );
    let load = scheduler.summary(now);
    assert_eq!(
        (load.free_tokens, load.running, load.preemptions),
        (2_000, 0, 1)
    );
}
