//! Who may give orders to a backend server: a fencing epoch in the store, and a lease on it.
//!
//! An agent that was paused wakes and believes that it is still the one; its successor has given
//! orders since. Engines that check fencing numbers refuse the old agent. For the others the lease
//! is judged right before each order, on a clock that runs on during a pause, and a successor waits
//! until the old lease must be over. Times are never compared across hosts: the successor counts from
//! its own write, which comes after the last renewal that its predecessor can have made.
//!
//! A renewal is made only when there are orders to give, so that 1,000 idle agents write nothing.
//! The driver asks for a [`LeaseIntent`], carries it out, and hands back what came of it.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::Name;
use crate::ids::Version;
use crate::platform::Condition;
use crate::platform::Object;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::time::Clock;
use crate::time::Time;
use crate::value_type;

/// How long a renewal lasts. Orders are answered in milliseconds; this leaves time for some dozens,
/// and a successor that has to wait for it is late by no more than a model's loading takes.
pub const LEASE: Duration = Duration::from_secs(10);

/// How much longer a successor waits: for an order that its predecessor sent in the last moment.
pub const MARGIN: Duration = Duration::from_secs(5);

/// The longest that one order may take. It must end before the lease does.
pub const ORDER_TIME: Duration = Duration::from_secs(3);

// One who was superseded tries again after this, if there is still something to order: its successor
// may have died. Two that live change places no more often.
const RETAKE: Duration = Duration::from_secs(60);

const RETRY: Duration = Duration::from_millis(500);

value_type! {
    /// What stands in the store for each backend server.
    pub struct EpochRecord {
        /// The fencing number.
        pub epoch: u64,
        /// The agent that holds it.
        pub holder: Name,
        /// Random: tells this process's writes from those of another one of the same name.
        pub token: u64,
    }
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseIntent {
    /// Read the record.
    Read,
    /// Write the record.
    Write(EpochRecord, Condition),
}

/// What came of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAnswer {
    /// A read's answer.
    Found(Option<Object>),
    /// A write's answer.
    Written(Version),
    /// The call failed.
    Failed(PlatformError),
}

/// Whether the engine checks fencing numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// It refuses an order with an old number.
    Checked,
    /// It obeys it.
    Ignored,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    // Nothing is known, or the answer to a write was lost.
    Unsure,
    // The record is at this version and is not this process's.
    Free(Option<Version>, u64),
    Held(Held),
    // Another process has taken over.
    Superseded { since: Time },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Held {
    version: Version,
    epoch: u64,
    until: Time,
    // Engines that ignore the number get no order before.
    quiet_until: Time,
}

/// One process's lease on the orders to one backend server.
pub struct Lease {
    holder: Name,
    token: u64,
    check: FenceCheck,
    state: State,
    // The epoch once held, while its version is not known.
    last: Option<Held>,
    // The largest number that the engine is known to have seen.
    floor: u64,
    flight: Option<(LeaseIntent, Time)>,
    not_before: Time,
}

impl Lease {
    /// A lease that is yet to be taken. `token` is random.
    pub fn new(holder: Name, token: u64, check: FenceCheck) -> Self {
        Lease {
            holder,
            token,
            check,
            state: State::Unsure,
            last: None,
            floor: 0,
            flight: None,
            not_before: Time::ZERO,
        }
    }

    /// The fencing number for an order that is sent now; `None` if none may be sent. To be asked right
    /// before each order.
    pub fn fence(&self, now: Time) -> Option<u64> {
        let State::Held(held) = self.state else {
            return None;
        };
        let early = self.check == FenceCheck::Ignored && now < held.quiet_until;
        let in_time = now + ORDER_TIME <= held.until;
        (in_time && !early).then_some(held.epoch)
    }

    /// Whether another process has taken over.
    pub fn is_superseded(&self) -> bool {
        matches!(self.state, State::Superseded { .. })
    }

    /// The engine has refused an order, since it knows the newer number `fence`.
    pub fn fenced(&mut self, now: Time, fence: u64) {
        self.note_fence(fence);
        self.supersede(now);
    }

    /// The engine reports the largest number that it has seen.
    ///
    /// After the store was set back its numbers are smaller, and the engine would refuse all orders
    /// for good: the next epoch is above both.
    pub fn note_fence(&mut self, fence: u64) {
        self.floor = self.floor.max(fence);
    }

    /// The call to make now, if any, for a process that has orders to give.
    pub fn poll(&mut self, now: Time) -> Option<LeaseIntent> {
        if self.flight.is_some() || now < self.not_before {
            return None;
        }
        let intent = match self.state {
            State::Unsure => LeaseIntent::Read,
            State::Superseded { since } if now < since + RETAKE => return None,
            State::Superseded { .. } => LeaseIntent::Read,
            State::Free(version, epoch) => {
                let condition = version.map_or(Condition::Absent, Condition::At);
                LeaseIntent::Write(self.record(epoch.max(self.floor) + 1), condition)
            }
            // A half is enough for the orders of one round, and leaves time for a retry.
            State::Held(held) if now + LEASE / 2 < held.until => return None,
            State::Held(held) => {
                LeaseIntent::Write(self.record(held.epoch), Condition::At(held.version))
            }
        };
        self.flight = Some((intent.clone(), now));
        Some(intent)
    }

    /// Takes in what came of the call.
    pub fn done(&mut self, now: Time, answer: LeaseAnswer) {
        let Some((intent, sent)) = self.flight.take() else {
            return;
        };
        match (intent, answer) {
            (LeaseIntent::Read, LeaseAnswer::Found(object)) => self.read(now, object),
            (LeaseIntent::Write(record, condition), LeaseAnswer::Written(version)) => {
                self.written(now, sent, &record, condition, version);
            }
            (LeaseIntent::Write(..), LeaseAnswer::Failed(PlatformError::Conflict { .. })) => {
                // An epoch that was held is another's now. One that was only sought may still be
                // free: another process was quicker, and goes first.
                self.supersede(now);
            }
            (LeaseIntent::Write(..), LeaseAnswer::Failed(PlatformError::Unknown(_))) => {
                if let State::Held(held) = self.state {
                    self.last = Some(held);
                }
                self.state = State::Unsure;
                self.not_before = now + RETRY / 5;
            }
            _ => self.not_before = now + RETRY,
        }
    }

    fn supersede(&mut self, now: Time) {
        self.state = State::Superseded { since: now };
        self.last = None;
    }

    fn record(&self, epoch: u64) -> EpochRecord {
        EpochRecord {
            epoch,
            holder: self.holder.clone(),
            token: self.token,
        }
    }

    fn read(&mut self, now: Time, object: Option<Object>) {
        let version = object.as_ref().map(|object| object.version);
        let record = object
            .as_ref()
            .and_then(|object| postcard::from_bytes::<EpochRecord>(&object.value).ok());
        match (record, version) {
            (Some(record), Some(version)) if record.token == self.token => {
                // A write whose answer was lost took effect. When it did is not known, so it gives no
                // time: the next renewal does.
                let quiet_until = match self.last {
                    Some(last) if last.epoch == record.epoch => last.quiet_until,
                    _ => now + LEASE + MARGIN,
                };
                self.state = State::Held(Held {
                    version,
                    epoch: record.epoch,
                    until: now,
                    quiet_until,
                });
            }
            // This process held an epoch, and the record is another's.
            (Some(_), Some(_)) if self.last.is_some() => self.supersede(now),
            (record, version) => {
                let epoch = record.map_or(0, |record| record.epoch);
                self.state = State::Free(version, epoch);
            }
        }
    }

    fn written(
        &mut self,
        now: Time,
        sent: Time,
        record: &EpochRecord,
        condition: Condition,
        version: Version,
    ) {
        let quiet_until = match self.state {
            State::Held(held) => held.quiet_until,
            // Nobody was before this process.
            _ if condition == Condition::Absent => now,
            _ => now + LEASE + MARGIN,
        };
        self.last = None;
        self.state = State::Held(Held {
            version,
            epoch: record.epoch,
            // From before the write was sent: nobody can count from earlier.
            until: sent + LEASE,
            quiet_until,
        });
    }
}

/// The key of a backend server's epoch in the store.
pub fn epoch_key(server: &Name) -> String {
    format!("epochs/{server}")
}

/// Makes the calls that the lease wants now.
pub async fn drive(lease: &mut Lease, platform: &dyn Platform, server: &Name, clock: &Clock) {
    let key = epoch_key(server);
    while let Some(intent) = lease.poll(clock.now()) {
        let answer = match intent {
            LeaseIntent::Read => platform.read(&key).await.map(LeaseAnswer::Found),
            LeaseIntent::Write(record, condition) => {
                let value = postcard::to_stdvec(&record).expect("plain data is written to memory");
                let written = platform.write(&key, Bytes::from(value), condition).await;
                written.map(LeaseAnswer::Written)
            }
        };
        lease.done(clock.now(), answer.unwrap_or_else(LeaseAnswer::Failed));
    }
}
