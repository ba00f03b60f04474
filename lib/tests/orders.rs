//! Tests of orders to engines: leases, reconciliation, and the limit on concurrent loads.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::backend::BackendError;
use cicada_lib::backend::EngineLoad;
use cicada_lib::backend::Order;
use cicada_lib::ids::Name;
use cicada_lib::ids::Version;
use cicada_lib::lease::FenceCheck;
use cicada_lib::lease::LEASE_DURATION;
use cicada_lib::lease::Lease;
use cicada_lib::lease::LeaseCall;
use cicada_lib::lease::LeaseCallResult;
use cicada_lib::lease::MAX_ORDER_DURATION;
use cicada_lib::lease::TAKEOVER_MARGIN;
use cicada_lib::lease::drive;
use cicada_lib::load_slots::LoadSlots;
use cicada_lib::load_slots::SlotRequest;
use cicada_lib::orders::DesiredState;
use cicada_lib::orders::NextStep;
use cicada_lib::orders::Reconciler;
use cicada_lib::platform::Condition;
use cicada_lib::platform::Object;
use cicada_lib::platform::PlatformError;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;
use testutils::memory_platform::MemoryPlatform;

/// A simulated store and engine. The engine checks fencing epochs if `checks_fence` is set.
#[derive(Default)]
struct Simulation {
    record: Option<Object>,
    checks_fence: bool,
    largest_fence: u64,
    models: BTreeSet<Name>,
}

impl Simulation {
    fn call_store(&mut self, call: &LeaseCall) -> LeaseCallResult {
        let found = self.record.as_ref().map(|object| object.version);
        match call {
            LeaseCall::Read => LeaseCallResult::Found(self.record.clone()),
            LeaseCall::Write(record, condition) => {
                let holds = match condition {
                    Condition::Absent => found.is_none(),
                    Condition::At(version) => found == Some(*version),
                };
                if !holds {
                    return LeaseCallResult::Failed(PlatformError::Conflict { found });
                }
                let version = Version(found.unwrap_or_default().0 + 1);
                let value = postcard::to_stdvec(record).expect("plain data");
                let value = Bytes::from(value);
                self.record = Some(Object { version, value });
                LeaseCallResult::Written(version)
            }
        }
    }

    fn drive(&mut self, lease: &mut Lease, now: Time) {
        while let Some(call) = lease.poll(now) {
            let answer = self.call_store(&call);
            lease.complete_call(now, answer);
        }
    }

    fn order(&mut self, fence: u64, order: &Order) -> Result<(), BackendError> {
        if self.checks_fence && fence < self.largest_fence {
            return Err(BackendError::Fenced(self.largest_fence));
        }
        self.largest_fence = self.largest_fence.max(fence);
        match order {
            Order::Load(name) => drop(self.models.insert(name.clone())),
            Order::Unload(name) => drop(self.models.remove(name)),
            Order::Role(_) => {}
        }
        Ok(())
    }

    fn report(&self) -> EngineLoad {
        EngineLoad {
            running: 0,
            waiting: 0,
            used_tokens: 0,
            capacity_tokens: 1,
            preemptions: 0,
            step_micros: 1,
            incarnation: 1,
            models: self.models.iter().cloned().collect(),
            role: Name::new("mixed"),
            fence: self.largest_fence,
        }
    }
}

fn lease(token: u64, check: FenceCheck) -> Lease {
    Lease::new(Name::new("agent-1"), token, check)
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn desired(models: &[&str]) -> DesiredState {
    DesiredState {
        models: models.iter().map(Name::new).collect(),
        role: Name::default(),
    }
}

/// An agent is paused while it holds a valid lease, and a successor takes over. When the old agent
/// resumes it must not give an order, because the clock that it checks kept running during the
/// pause. At its next store call it learns that it was superseded.
#[test]
fn a_paused_holder_gives_no_order_when_it_wakes() {
    let mut sim = Simulation::default();
    let mut old = lease(1, FenceCheck::Ignored);
    sim.drive(&mut old, at(0));
    assert_eq!(old.fence(at(1)), Some(1));
    let mut new = lease(2, FenceCheck::Ignored);
    sim.drive(&mut new, at(5));
    let waking = at(5) + LEASE_DURATION;
    assert_eq!(old.fence(waking), None);
    sim.drive(&mut old, waking);
    assert!(old.is_superseded());
    assert_eq!(old.fence(waking), None);
}

/// Two agents are responsible for one backend server that ignores fencing epochs. They must never
/// give orders at the same time, even if an order takes its maximum time, and whenever the second
/// one starts.
#[test]
fn two_agents_never_order_at_once() {
    for start in 0..40_u64 {
        let mut sim = Simulation::default();
        let mut old = lease(1, FenceCheck::Ignored);
        let mut new = lease(2, FenceCheck::Ignored);
        let mut last_old = None;
        let mut first_new = None;
        for tick in 0..400_u64 {
            let now = Time::from_millis(tick * 100);
            sim.drive(&mut old, now);
            if old.fence(now).is_some() {
                last_old = Some(now);
            }
            if tick >= start * 5 {
                sim.drive(&mut new, now);
                if new.fence(now).is_some() {
                    first_new = first_new.or(Some(now));
                }
            }
        }
        let (last, first) = (last_old.unwrap(), first_new.unwrap());
        assert!(
            last + MAX_ORDER_DURATION + TAKEOVER_MARGIN <= first,
            "{last:?} {first:?}"
        );
    }
}

/// A delayed order of an old agent reaches the engine after its successor's order. An engine that
/// checks the epoch refuses it. One that does not executes it, and the successor corrects that
/// after the next report.
#[test]
fn a_stale_order_is_refused_or_undone() {
    for checks_fence in [true, false] {
        let mut sim = Simulation {
            checks_fence,
            ..Simulation::default()
        };
        let wanted = desired(&["v2"]);
        let orders = Reconciler::new();
        assert_eq!(sim.order(2, &Order::Load(Name::new("v2"))), Ok(()));
        let stale = sim.order(1, &Order::Unload(Name::new("v2")));
        assert_eq!(stale.is_err(), checks_fence);
        let next = orders.next(at(10), &wanted, &sim.report(), true);
        if checks_fence {
            assert_eq!(next, NextStep::InSync);
        } else {
            assert_eq!(next, NextStep::Give(Order::Load(Name::new("v2"))));
        }
    }
}

/// Operators change the version on all replicas at once. An engine keeps the old version, which
/// still serves callers, until it has a slot to load the new one; then it unloads the old one and
/// loads.
#[test]
fn the_old_version_stays_until_the_new_one_may_load() {
    let mut sim = Simulation::default();
    sim.models.insert(Name::new("v1"));
    let wanted = desired(&["v2"]);
    let mut orders = Reconciler::new();
    let needs = NextStep::AcquireSlot(Name::new("v2"));
    assert_eq!(orders.next(at(0), &wanted, &sim.report(), false), needs);
    let mut given = Vec::new();
    for second in 1..20 {
        let next = orders.next(at(second), &wanted, &sim.report(), true);
        if let NextStep::Give(order) = next {
            let result = sim.order(1, &order);
            assert!(!orders.record_result(at(second), &result));
            given.push(order);
        }
    }
    let unload = Order::Unload(Name::new("v1"));
    assert_eq!(given, [unload, Order::Load(Name::new("v2"))]);
}

/// The response to an order is lost. If the order took effect, the next report shows that and the
/// order is not repeated. If not, it is repeated once the report has had time to show it.
#[test]
fn a_lost_answer_is_settled_by_the_report() {
    for took_effect in [true, false] {
        let mut sim = Simulation::default();
        let wanted = desired(&["v1"]);
        let mut orders = Reconciler::new();
        let now = at(1);
        let load = NextStep::Give(Order::Load(Name::new("v1")));
        assert_eq!(orders.next(now, &wanted, &sim.report(), true), load);
        if took_effect {
            assert_eq!(sim.order(1, &Order::Load(Name::new("v1"))), Ok(()));
        }
        let lost = Err(BackendError::Lost("cut".to_owned()));
        assert!(!orders.record_result(now, &lost));
        let soon = orders.next(at(2), &wanted, &sim.report(), true);
        let later = orders.next(at(4), &wanted, &sim.report(), true);
        if took_effect {
            assert_eq!((soon, later), (NextStep::InSync, NextStep::InSync));
        } else {
            assert_eq!((soon, later), (NextStep::Wait, load));
        }
    }
}

/// The response to the write that acquires an epoch is lost, but the write took effect. The agent
/// reads the record back, recognizes its own token, and acquires no second epoch. It gives no order
/// before a renewal succeeds.
#[test]
fn a_lost_answer_to_the_epoch_is_read_back() {
    let mut sim = Simulation::default();
    let mut lease = lease(1, FenceCheck::Checked);
    let read = lease.poll(at(0)).expect("a read");
    let answer = sim.call_store(&read);
    lease.complete_call(at(0), answer);
    let write = lease.poll(at(0)).expect("a write");
    sim.call_store(&write);
    let lost = PlatformError::Unknown("cut".to_owned());
    lease.complete_call(at(0), LeaseCallResult::Failed(lost));
    assert_eq!(lease.fence(at(0)), None);
    let read = lease.poll(at(1)).expect("a read");
    let answer = sim.call_store(&read);
    lease.complete_call(at(1), answer);
    assert_eq!(lease.fence(at(1)), None);
    sim.drive(&mut lease, at(1));
    assert_eq!(lease.fence(at(1)), Some(1));
}

/// An engine refuses an order because it has seen a newer epoch. The agent stops immediately, even
/// though its lease is still valid, and waits before it tries to take the epoch back.
#[test]
fn a_fenced_agent_stops() {
    let mut sim = Simulation::default();
    let mut lease = lease(1, FenceCheck::Checked);
    sim.drive(&mut lease, at(0));
    assert!(Reconciler::new().record_result(at(1), &Err(BackendError::Fenced(9))));
    lease.fenced(at(1), 9);
    assert_eq!(lease.fence(at(1)), None);
    assert_eq!(lease.poll(at(30)), None);
    assert_eq!(lease.poll(at(62)), Some(LeaseCall::Read));
}

/// The store and its epochs were restored from an older copy, while an engine that checks epochs
/// has seen epoch 40. The next epoch must be larger, or the engine would refuse all orders.
#[test]
fn an_epoch_is_above_what_the_engine_has_seen() {
    let mut sim = Simulation {
        checks_fence: true,
        largest_fence: 40,
        ..Simulation::default()
    };
    let mut lease = lease(1, FenceCheck::Checked);
    lease.observe_fence(sim.report().fence);
    sim.drive(&mut lease, at(0));
    let fence = lease.fence(at(0)).expect("a lease");
    assert_eq!(sim.order(fence, &Order::Load(Name::new("v1"))), Ok(()));
}

/// An engine cannot load a model and refuses each order. The orders are repeated with backoff.
#[test]
fn a_failing_order_is_repeated_ever_less_often() {
    let sim = Simulation::default();
    let wanted = desired(&["v1"]);
    let mut orders = Reconciler::new();
    let failed = Err(BackendError::Failed("no memory".to_owned()));
    let given = (0..3_600).filter(|second| {
        let ready = orders.next(at(*second), &wanted, &sim.report(), true) != NextStep::Wait;
        if ready {
            assert!(!orders.record_result(at(*second), &failed));
        }
        ready
    });
    let given = given.count();
    assert!((20..40).contains(&given), "{given} in an hour");
}

/// All nine replicas of a model restart, and the weight store has three load slots. One replica
/// loads first; once it serves, at most three load at once, and in the end all have loaded. The
/// slot of an agent that crashes during its load expires.
#[test]
fn loads_are_staggered() {
    let model = Name::new("ceremony-7");
    let names: Vec<_> = (0..9).map(|n| Name::new(format!("agent-{n}"))).collect();
    let mut slots = LoadSlots::default();
    let mut served = BTreeSet::new();
    let mut most = 0;
    for minute in 0..30 {
        for holder in &names {
            let request = SlotRequest {
                holder,
                model: &model,
                replicas: 9,
                serving: served.len(),
                now_unix_ms: minute * 60_000,
            };
            if !served.contains(holder)
                && let Some(next) = slots.acquire(request, 3)
            {
                slots = next;
            }
        }
        let loading = slots.slots.len();
        assert!(!served.is_empty() || loading <= 1);
        most = most.max(loading);
        // Each load takes a minute. Agent 3 crashes in its first one and does not release its slot.
        for slot in slots.slots.clone() {
            let dies = slot.holder == names[3] && minute < 3;
            if !dies {
                slots = slots.release(&slot.holder);
                served.insert(slot.holder);
            }
        }
    }
    assert_eq!(most, 3);
    assert_eq!(served.len(), 9);
}

/// Two replicas of a model, one of which serves. While the other loads, the first must not load, or
/// none would serve. Once the slot has expired, it may.
#[test]
fn never_all_replicas_load() {
    let model = Name::new("m");
    let (first, second) = (Name::new("a"), Name::new("b"));
    let request = |holder, now| SlotRequest {
        holder,
        model: &model,
        replicas: 2,
        serving: 1,
        now_unix_ms: now,
    };
    let slots = LoadSlots::default()
        .acquire(request(&first, 0), 8)
        .expect("a slot");
    assert_eq!(slots.acquire(request(&second, 1_000), 8), None);
    let expired = 1_000 + u64::try_from(Duration::from_secs(600).as_millis()).unwrap();
    assert!(slots.acquire(request(&second, expired), 8).is_some());
}

/// Two agents acquire the epoch of one backend server in the platform's store, one after the other.
/// The second gets the larger epoch; the first learns at its next renewal that it is superseded.
#[tokio::test]
async fn epochs_grow_in_the_store() {
    let platform = MemoryPlatform::new();
    let server = Name::new("engine-1");
    let clock = Clock::new();
    let mut first = lease(1, FenceCheck::Checked);
    let mut second = lease(2, FenceCheck::Checked);
    drive(&mut first, &platform, &server, &clock).await;
    drive(&mut second, &platform, &server, &clock).await;
    assert_eq!(first.fence(clock.now()), Some(1));
    assert_eq!(second.fence(clock.now()), Some(2));
    let later = clock.now() + LEASE_DURATION;
    let renewal = first.poll(later).expect("a renewal");
    assert!(matches!(renewal, LeaseCall::Write(..)));
    let found = Some(Version(2));
    first.complete_call(
        later,
        LeaseCallResult::Failed(PlatformError::Conflict { found }),
    );
    assert!(first.is_superseded());
}
