//! Decides which agent may give orders to a backend server: a fencing epoch in the store, and a
//! lease on it.
//!
//! An agent that was paused may resume and still believe that it holds the lease, although a
//! successor has given orders since. Engines that check fencing epochs refuse the old agent's
//! orders. For other engines, the agent checks its lease immediately before each order, on a clock
//! that keeps running during a pause, and a successor waits until the old lease must have expired.
//! Times are never compared across hosts: the successor counts from its own write, which comes
//! after the last renewal that its predecessor can have made.
//!
//! The lease is renewed only when there are orders to give, so that 1,000 idle agents write
//! nothing. This module does no I/O except in [`drive`], which polls for a [`LeaseCall`], makes it,
//! and passes its result back.

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

/// How long a lease is valid after a renewal. Orders are answered within milliseconds, so this is
/// enough for some dozens of orders. A successor that has to wait for it is delayed by no more than
/// the time that a model takes to load.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// How much longer than [`LEASE_DURATION`] a successor waits, to cover an order that its
/// predecessor sent at the last moment.
pub const TAKEOVER_MARGIN: Duration = Duration::from_secs(5);

/// The maximum duration of one order. An order is sent only if it will end before the lease
/// expires.
pub const MAX_ORDER_DURATION: Duration = Duration::from_secs(3);

// How long a superseded agent waits before it tries to take the lease back, if it still has orders
// to give: its successor may have died. Two live agents take the lease from each other at most this
// often.
const RETAKE_DELAY: Duration = Duration::from_secs(60);

const RETRY_DELAY: Duration = Duration::from_millis(500);

value_type! {
    /// The stored record of each backend server's epoch.
    pub struct EpochRecord {
        /// The fencing epoch.
        pub epoch: u64,
        /// The agent that holds it.
        pub holder: Name,
        /// A random value that distinguishes this process's writes from those of another process
        /// with the same name.
        pub token: u64,
    }
}

/// A store call that the driver has to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseCall {
    /// Read the record.
    Read,
    /// Write the record.
    Write(EpochRecord, Condition),
}

/// The result of a [`LeaseCall`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseCallResult {
    /// The object read, if it exists.
    Found(Option<Object>),
    /// The version written.
    Written(Version),
    /// The call failed.
    Failed(PlatformError),
}

/// Whether the engine checks fencing epochs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// It refuses an order with an older epoch.
    Checked,
    /// It executes an order with an older epoch.
    Ignored,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    // The record has not been read, or the response to a write was lost.
    Unknown,
    // The record is at this version, with this epoch, and is not this process's.
    NotHeld(Option<Version>, u64),
    Held(HeldEpoch),
    // Another process has taken over.
    Superseded { since: Time },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldEpoch {
    version: Version,
    epoch: u64,
    valid_until: Time,
    // Engines that do not check epochs get no order before this time.
    no_orders_before: Time,
}

/// One process's lease on the orders to one backend server.
pub struct Lease {
    holder: Name,
    token: u64,
    check: FenceCheck,
    state: State,
    // The epoch that was held when the response to a write was lost, until the record is read
    // again.
    unconfirmed: Option<HeldEpoch>,
    // The largest epoch that the engine is known to have seen.
    largest_seen_fence: u64,
    in_flight: Option<(LeaseCall, Time)>,
    not_before: Time,
}

impl Lease {
    /// Creates a lease that has not been acquired yet. `token` must be random.
    pub fn new(holder: Name, token: u64, check: FenceCheck) -> Self {
        Lease {
            holder,
            token,
            check,
            state: State::Unknown,
            unconfirmed: None,
            largest_seen_fence: 0,
            in_flight: None,
            not_before: Time::ZERO,
        }
    }

    /// The fencing epoch for an order sent now, or `None` if no order may be sent. Call this
    /// immediately before each order.
    pub fn fence(&self, now: Time) -> Option<u64> {
        let State::Held(held) = self.state else {
            return None;
        };
        let too_early = self.check == FenceCheck::Ignored && now < held.no_orders_before;
        let in_time = now + MAX_ORDER_DURATION <= held.valid_until;
        (in_time && !too_early).then_some(held.epoch)
    }

    /// Whether another process has taken over.
    pub fn is_superseded(&self) -> bool {
        matches!(self.state, State::Superseded { .. })
    }

    /// Records that the engine refused an order because it has seen the newer epoch `fence`.
    pub fn fenced(&mut self, now: Time, fence: u64) {
        self.observe_fence(fence);
        self.mark_superseded(now);
    }

    /// Records the largest epoch that the engine reports to have seen.
    ///
    /// After the store was restored from an older copy, its epochs are smaller than that, and the
    /// engine would refuse all orders permanently. The next epoch is therefore larger than both.
    pub fn observe_fence(&mut self, fence: u64) {
        self.largest_seen_fence = self.largest_seen_fence.max(fence);
    }

    /// Returns the store call to make now, if any. Call this only when there are orders to give.
    pub fn poll(&mut self, now: Time) -> Option<LeaseCall> {
        if self.in_flight.is_some() || now < self.not_before {
            return None;
        }
        let call = match self.state {
            State::Unknown => LeaseCall::Read,
            State::Superseded { since } if now < since + RETAKE_DELAY => return None,
            State::Superseded { .. } => LeaseCall::Read,
            State::NotHeld(version, epoch) => {
                let condition = version.map_or(Condition::Absent, Condition::At);
                LeaseCall::Write(
                    self.new_record(epoch.max(self.largest_seen_fence) + 1),
                    condition,
                )
            }
            // Half of the lease is enough for the orders of one round, and leaves time for a retry.
            State::Held(held) if now + LEASE_DURATION / 2 < held.valid_until => return None,
            State::Held(held) => {
                LeaseCall::Write(self.new_record(held.epoch), Condition::At(held.version))
            }
        };
        self.in_flight = Some((call.clone(), now));
        Some(call)
    }

    /// Handles the result of the store call in flight.
    pub fn complete_call(&mut self, now: Time, result: LeaseCallResult) {
        let Some((call, sent)) = self.in_flight.take() else {
            return;
        };
        match (call, result) {
            (LeaseCall::Read, LeaseCallResult::Found(object)) => self.on_read(now, object),
            (LeaseCall::Write(record, condition), LeaseCallResult::Written(version)) => {
                self.on_written(now, sent, &record, condition, version);
            }
            (LeaseCall::Write(..), LeaseCallResult::Failed(PlatformError::Conflict { .. })) => {
                // If this process held the epoch, another one has taken it. If it was only trying
                // to acquire it, another process was faster and goes first.
                self.mark_superseded(now);
            }
            (LeaseCall::Write(..), LeaseCallResult::Failed(PlatformError::Unknown(_))) => {
                if let State::Held(held) = self.state {
                    self.unconfirmed = Some(held);
                }
                self.state = State::Unknown;
                self.not_before = now + RETRY_DELAY / 5;
            }
            _ => self.not_before = now + RETRY_DELAY,
        }
    }

    fn mark_superseded(&mut self, now: Time) {
        self.state = State::Superseded { since: now };
        self.unconfirmed = None;
    }

    fn new_record(&self, epoch: u64) -> EpochRecord {
        EpochRecord {
            epoch,
            holder: self.holder.clone(),
            token: self.token,
        }
    }

    fn on_read(&mut self, now: Time, object: Option<Object>) {
        let version = object.as_ref().map(|object| object.version);
        let record = object
            .as_ref()
            .and_then(|object| postcard::from_bytes::<EpochRecord>(&object.value).ok());
        match (record, version) {
            (Some(record), Some(version)) if record.token == self.token => {
                // A write whose response was lost took effect. When it did is unknown, so the lease
                // counts as expired until the next renewal.
                let no_orders_before = match self.unconfirmed {
                    Some(held) if held.epoch == record.epoch => held.no_orders_before,
                    _ => now + LEASE_DURATION + TAKEOVER_MARGIN,
                };
                self.state = State::Held(HeldEpoch {
                    version,
                    epoch: record.epoch,
                    valid_until: now,
                    no_orders_before,
                });
            }
            // This process held an epoch, and the record now belongs to another one.
            (Some(_), Some(_)) if self.unconfirmed.is_some() => self.mark_superseded(now),
            (record, version) => {
                let epoch = record.map_or(0, |record| record.epoch);
                self.state = State::NotHeld(version, epoch);
            }
        }
    }

    fn on_written(
        &mut self,
        now: Time,
        sent: Time,
        record: &EpochRecord,
        condition: Condition,
        version: Version,
    ) {
        let no_orders_before = match self.state {
            State::Held(held) => held.no_orders_before,
            // There was no predecessor.
            _ if condition == Condition::Absent => now,
            _ => now + LEASE_DURATION + TAKEOVER_MARGIN,
        };
        self.unconfirmed = None;
        self.state = State::Held(HeldEpoch {
            version,
            epoch: record.epoch,
            // Counts from when the write was sent, so the lease ends before a successor, which
            // counts from a later write, sends its first order.
            valid_until: sent + LEASE_DURATION,
            no_orders_before,
        });
    }
}

/// The store key of a backend server's epoch.
pub fn epoch_key(server: &Name) -> String {
    format!("epochs/{server}")
}

/// Makes the store calls that are due for the lease.
pub async fn drive(lease: &mut Lease, platform: &dyn Platform, server: &Name, clock: &Clock) {
    let key = epoch_key(server);
    while let Some(call) = lease.poll(clock.now()) {
        let result = match call {
            LeaseCall::Read => platform.read(&key).await.map(LeaseCallResult::Found),
            LeaseCall::Write(record, condition) => {
                let value = postcard::to_stdvec(&record)
                    .expect("plain data can always be encoded to memory");
                let written = platform.write(&key, Bytes::from(value), condition).await;
                written.map(LeaseCallResult::Written)
            }
        };
        lease.complete_call(clock.now(), result.unwrap_or_else(LeaseCallResult::Failed));
    }
}
