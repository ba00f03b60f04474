//! Orders to engines: who may give them, which come next, and how loads are staggered.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::backend::BackendError;
use cicada_lib::backend::EngineLoad;
use cicada_lib::backend::Order;
use cicada_lib::ids::Name;
use cicada_lib::ids::Version;
use cicada_lib::lease::FenceCheck;
use cicada_lib::lease::LEASE;
use cicada_lib::lease::Lease;
use cicada_lib::lease::LeaseAnswer;
use cicada_lib::lease::LeaseIntent;
use cicada_lib::lease::MARGIN;
use cicada_lib::lease::ORDER_TIME;
use cicada_lib::lease::drive;
use cicada_lib::load_slots::SlotRequest;
use cicada_lib::load_slots::Slots;
use cicada_lib::orders::Desired;
use cicada_lib::orders::NextOrder;
use cicada_lib::orders::Orders;
use cicada_lib::platform::Condition;
use cicada_lib::platform::Object;
use cicada_lib::platform::PlatformError;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;
use testutils::memory_platform::MemoryPlatform;

/// The store, an engine that may ignore fencing numbers, and what the engine holds.
#[derive(Default)]
struct World {
    record: Option<Object>,
    checks: bool,
    largest: u64,
    models: BTreeSet<Name>,
}

impl World {
    fn store(&mut self, intent: &LeaseIntent) -> LeaseAnswer {
        let found = self.record.as_ref().map(|object| object.version);
        match intent {
            LeaseIntent::Read => LeaseAnswer::Found(self.record.clone()),
            LeaseIntent::Write(record, condition) => {
                let holds = match condition {
                    Condition::Absent => found.is_none(),
                    Condition::At(version) => found == Some(*version),
                };
                if !holds {
                    return LeaseAnswer::Failed(PlatformError::Conflict { found });
                }
                let version = Version(found.unwrap_or_default().0 + 1);
                let value = postcard::to_stdvec(record).expect("plain data");
                let value = Bytes::from(value);
                self.record = Some(Object { version, value });
                LeaseAnswer::Written(version)
            }
        }
    }

    fn drive(&mut self, lease: &mut Lease, now: Time) {
        while let Some(intent) = lease.poll(now) {
            let answer = self.store(&intent);
            lease.done(now, answer);
        }
    }

    fn order(&mut self, fence: u64, order: &Order) -> Result<(), BackendError> {
        if self.checks && fence < self.largest {
            return Err(BackendError::Fenced(self.largest));
        }
        self.largest = self.largest.max(fence);
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
            fence: self.largest,
        }
    }
}

fn lease(token: u64, check: FenceCheck) -> Lease {
    Lease::new(Name::new("agent-1"), token, check)
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn desired(models: &[&str]) -> Desired {
    Desired {
        models: models.iter().map(Name::new).collect(),
        role: Name::default(),
    }
}

/// An agent is stopped with a valid lease; its successor takes over and orders a new version. The old
/// agent wakes and believes that it holds the lease. Right before its next order it looks at a clock
/// that ran on, and gives none; once it asks the store it learns that it was superseded.
#[test]
fn a_paused_holder_gives_no_order_when_it_wakes() {
    let mut world = World::default();
    let mut old = lease(1, FenceCheck::Ignored);
    world.drive(&mut old, at(0));
    assert_eq!(old.fence(at(1)), Some(1));
    let mut new = lease(2, FenceCheck::Ignored);
    world.drive(&mut new, at(5));
    let waking = at(5) + LEASE;
    assert_eq!(old.fence(waking), None);
    world.drive(&mut old, waking);
    assert!(old.is_superseded());
    assert_eq!(old.fence(waking), None);
}

/// Two agents stand before one backend server that ignores fencing numbers. At no moment may both give
/// orders, not even one that takes its time, whatever the moment at which the second one starts.
#[test]
fn two_agents_never_order_at_once() {
    for start in 0..40_u64 {
        let mut world = World::default();
        let mut old = lease(1, FenceCheck::Ignored);
        let mut new = lease(2, FenceCheck::Ignored);
        let mut last_old = None;
        let mut first_new = None;
        for tick in 0..400_u64 {
            let now = Time::from_millis(tick * 100);
            world.drive(&mut old, now);
            if old.fence(now).is_some() {
                last_old = Some(now);
            }
            if tick >= start * 5 {
                world.drive(&mut new, now);
                if new.fence(now).is_some() {
                    first_new = first_new.or(Some(now));
                }
            }
        }
        let (last, first) = (last_old.unwrap(), first_new.unwrap());
        assert!(last + ORDER_TIME + MARGIN <= first, "{last:?} {first:?}");
    }
}

/// An old agent's order travels for a long time and reaches the engine after its successor's. An
/// engine that checks the number refuses it. One that ignores it obeys; the successor sees that in
/// the next report and puts it right.
#[test]
fn a_stale_order_is_refused_or_undone() {
    for checks in [true, false] {
        let mut world = World {
            checks,
            ..World::default()
        };
        let wanted = desired(&["v2"]);
        let orders = Orders::new();
        assert_eq!(world.order(2, &Order::Load(Name::new("v2"))), Ok(()));
        let stale = world.order(1, &Order::Unload(Name::new("v2")));
        assert_eq!(stale.is_err(), checks);
        let next = orders.next(at(10), &wanted, &world.report(), true);
        if checks {
            assert_eq!(next, NextOrder::Settled);
        } else {
            assert_eq!(next, NextOrder::Give(Order::Load(Name::new("v2"))));
        }
    }
}

/// Operators change the version on all replicas at once. An engine keeps the old version, which its
/// callers still use, until it has a slot to load the new one; then it makes room and loads.
#[test]
fn the_old_version_stays_until_the_new_one_may_load() {
    let mut world = World::default();
    world.models.insert(Name::new("v1"));
    let wanted = desired(&["v2"]);
    let mut orders = Orders::new();
    let needs = NextOrder::NeedSlot(Name::new("v2"));
    assert_eq!(orders.next(at(0), &wanted, &world.report(), false), needs);
    let mut given = Vec::new();
    for second in 1..20 {
        let next = orders.next(at(second), &wanted, &world.report(), true);
        if let NextOrder::Give(order) = next {
            let result = world.order(1, &order);
            assert!(!orders.given(at(second), &result));
            given.push(order);
        }
    }
    let unload = Order::Unload(Name::new("v1"));
    assert_eq!(given, [unload, Order::Load(Name::new("v2"))]);
}

/// The answer to an order is lost. If it took effect the next report shows it and nothing is ordered
/// twice; if not, it is given again after the report had time to show it.
#[test]
fn a_lost_answer_is_settled_by_the_report() {
    for took_effect in [true, false] {
        let mut world = World::default();
        let wanted = desired(&["v1"]);
        let mut orders = Orders::new();
        let now = at(1);
        let load = NextOrder::Give(Order::Load(Name::new("v1")));
        assert_eq!(orders.next(now, &wanted, &world.report(), true), load);
        if took_effect {
            assert_eq!(world.order(1, &Order::Load(Name::new("v1"))), Ok(()));
        }
        let lost = Err(BackendError::Lost("cut".to_owned()));
        assert!(!orders.given(now, &lost));
        let soon = orders.next(at(2), &wanted, &world.report(), true);
        let later = orders.next(at(4), &wanted, &world.report(), true);
        if took_effect {
            assert_eq!((soon, later), (NextOrder::Settled, NextOrder::Settled));
        } else {
            assert_eq!((soon, later), (NextOrder::Wait, load));
        }
    }
}

/// The store loses the answer to an agent's taking of the epoch, which took effect. The agent reads
/// back, sees itself, and takes no second epoch; it gives no order before a renewal gave it time.
#[test]
fn a_lost_answer_to_the_epoch_is_read_back() {
    let mut world = World::default();
    let mut lease = lease(1, FenceCheck::Checked);
    let read = lease.poll(at(0)).expect("a read");
    let answer = world.store(&read);
    lease.done(at(0), answer);
    let write = lease.poll(at(0)).expect("a write");
    world.store(&write);
    let lost = PlatformError::Unknown("cut".to_owned());
    lease.done(at(0), LeaseAnswer::Failed(lost));
    assert_eq!(lease.fence(at(0)), None);
    let read = lease.poll(at(1)).expect("a read");
    let answer = world.store(&read);
    lease.done(at(1), answer);
    assert_eq!(lease.fence(at(1)), None);
    world.drive(&mut lease, at(1));
    assert_eq!(lease.fence(at(1)), Some(1));
}

/// An engine says that it knows a newer number. The agent stops at once, also in the middle of its
/// lease, and does not fight its successor for the epoch.
#[test]
fn a_fenced_agent_stops() {
    let mut world = World::default();
    let mut lease = lease(1, FenceCheck::Checked);
    world.drive(&mut lease, at(0));
    assert!(Orders::new().given(at(1), &Err(BackendError::Fenced(9))));
    lease.fenced(at(1), 9);
    assert_eq!(lease.fence(at(1)), None);
    assert_eq!(lease.poll(at(30)), None);
    assert_eq!(lease.poll(at(62)), Some(LeaseIntent::Read));
}

/// The store was set back and its epochs with it, while an engine that checks them has seen number 40.
/// The next epoch is above what the engine reports, so that its orders are obeyed.
#[test]
fn an_epoch_is_above_what_the_engine_has_seen() {
    let mut world = World {
        checks: true,
        largest: 40,
        ..World::default()
    };
    let mut lease = lease(1, FenceCheck::Checked);
    lease.note_fence(world.report().fence);
    world.drive(&mut lease, at(0));
    let fence = lease.fence(at(0)).expect("a lease");
    assert_eq!(world.order(fence, &Order::Load(Name::new("v1"))), Ok(()));
}

/// An engine cannot load a model and says so each time. It is asked less and less often.
#[test]
fn a_failing_order_is_repeated_ever_less_often() {
    let world = World::default();
    let wanted = desired(&["v1"]);
    let mut orders = Orders::new();
    let failed = Err(BackendError::Failed("no memory".to_owned()));
    let given = (0..3_600).filter(|second| {
        let ready = orders.next(at(*second), &wanted, &world.report(), true) != NextOrder::Wait;
        if ready {
            assert!(!orders.given(at(*second), &failed));
        }
        ready
    });
    let given = given.count();
    assert!((20..40).contains(&given), "{given} in an hour");
}

/// All nine replicas of a model restart, with three slots at the weight store. One loads first; once
/// it serves, at most three load at once; all have loaded in the end. An agent that dies while it loads
/// does not keep its slot.
#[test]
fn loads_are_staggered() {
    let model = Name::new("ceremony-7");
    let names: Vec<_> = (0..9).map(|n| Name::new(format!("agent-{n}"))).collect();
    let mut slots = Slots::default();
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
                && let Some(next) = slots.take(request, 3)
            {
                slots = next;
            }
        }
        let loading = slots.slots.len();
        assert!(!served.is_empty() || loading <= 1);
        most = most.max(loading);
        // Each load takes a minute; the holder of agent 3 dies in its first one.
        for slot in slots.slots.clone() {
            let dies = slot.holder == names[3] && minute < 3;
            if !dies {
                slots = slots.give_back(&slot.holder);
                served.insert(slot.holder);
            }
        }
    }
    assert_eq!(most, 3);
    assert_eq!(served.len(), 9);
}

/// Two replicas of a model, one of which serves. The second may load; the first must not load at the
/// same time, or nobody would serve.
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
    let slots = Slots::default()
        .take(request(&first, 0), 8)
        .expect("a slot");
    assert_eq!(slots.take(request(&second, 1_000), 8), None);
    let expired = 1_000 + u64::try_from(Duration::from_secs(600).as_millis()).unwrap();
    assert!(slots.take(request(&second, expired), 8).is_some());
}

/// Two agents take the epoch of one backend server in the platform's store one after the other. The
/// second gets the larger number; the first learns at its next renewal that it is superseded.
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
    let later = clock.now() + LEASE;
    let renewal = first.poll(later).expect("a renewal");
    assert!(matches!(renewal, LeaseIntent::Write(..)));
    let found = Some(Version(2));
    first.done(
        later,
        LeaseAnswer::Failed(PlatformError::Conflict { found }),
    );
    assert!(first.is_superseded());
}
