//! How long the calls of a relay take, by service.
//!
//! Load pattern: a service slows down or stops answering, so that its slow calls are still open, or were given up by their
//! callers, while its quick ones have ended. They count as well: they have taken as long as they have been open.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::ids::Name;
use crate::recent_max::RecentMax;
use crate::time::Time;

slotmap::new_key_type! {
    /// Identifies an open call.
    pub struct CallKey;
}

/// How an open call ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// With an answer for its caller.
    Answered,
    /// Its caller has disconnected.
    Abandoned,
    /// It was refused.
    Refused,
}

/// The times of the calls of a relay.
#[derive(Debug, Default)]
pub struct CallTimings {
    open: SlotMap<CallKey, OpenCall>,
    services: HashMap<Name, ServiceTimes>,
}

#[derive(Debug)]
struct OpenCall {
    service: Name,
    begun: Time,
}

#[derive(Debug, Default)]
struct ServiceTimes {
    answered: RecentMax<Duration>,
    // They would have taken longer.
    abandoned: RecentMax<Duration>,
}

impl CallTimings {
    /// Records that a call begins.
    pub fn begin(&mut self, now: Time, service: Name) -> CallKey {
        let begun = now;
        self.open.insert(OpenCall { service, begun })
    }

    /// Records that a call ends.
    pub fn end(&mut self, now: Time, key: CallKey, end: CallEnd) {
        let Some(call) = self.open.remove(key) else {
            return;
        };
        let took = now.since(call.begun);
        let service = self.services.entry(call.service).or_default();
        match end {
            CallEnd::Answered => service.answered.record(now, took),
            CallEnd::Abandoned => service.abandoned.record(now, took),
            CallEnd::Refused => {}
        }
    }

    /// The longest time of a recent call or an open one; `None` if no call of the service was answered recently.
    pub fn longest(&mut self, now: Time, service: &Name) -> Option<Duration> {
        let times = self.services.get_mut(service)?;
        let answered = times.answered.longest(now)?;
        let abandoned = times.abandoned.longest(now).unwrap_or_default();
        let open = self.open.values().filter(|call| call.service == *service);
        let open = open.map(|call| now.since(call.begun));
        Some(open.fold(answered.max(abandoned), Duration::max))
    }
}
