//! The scheduler's interface as the daemon uses it.

use cicada_lib::ids::Name;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::preset::Preset;
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
    Scheduler::new(SchedulerSettings::new(Preset::Stall, 0, max_batch))
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
