//! Which engines may read weights from the weight store at the same time.
//!
//! When a rack or a whole service restarts, every engine wants its model at once: the weight store is
//! rate limited, so all of them would wait for the last, and no replica of a model would serve. Slots
//! stand in one object of the platform's store, changed by conditional updates; a decision takes O(slots).

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Name;
use crate::value_type;

/// How long a slot lasts without renewal. Its holder renews it each minute while it loads.
///
/// By the time of day of the hosts: clocks that differ let a slot end early or late, which costs time
/// at the weight store and no promise.
pub const SLOT_TIME: Duration = Duration::from_secs(180);

value_type! {
    /// A slot in use.
    pub struct Slot {
        /// The engine's agent.
        pub holder: Name,
        /// What it loads.
        pub model: Name,
        /// The end, in milliseconds of Unix time.
        pub until: u64,
    }
}

/// What a request for a slot is about.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// The agent that asks.
    pub holder: &'a Name,
    /// What it wants to load.
    pub model: &'a Name,
    /// How many engines should hold the model.
    pub replicas: usize,
    /// How many others hold it and serve.
    pub serving: usize,
    /// The time of day in milliseconds.
    pub now_unix_ms: u64,
}

/// The slots of one weight store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slots {
    /// Those in use, at most one for each holder.
    pub slots: Vec<Slot>,
}

impl Slots {
    /// The slots after the request was granted, to be written under the condition that they have not
    /// changed; `None` if it has to wait. Renews a slot that the holder has.
    pub fn take(&self, request: SlotRequest, most: usize) -> Option<Slots> {
        let mut next = self.clone();
        next.slots.retain(|slot| slot.until > request.now_unix_ms);
        next.slots.retain(|slot| slot.holder != *request.holder);
        let others = next.slots.len();
        let same = next
            .slots
            .iter()
            .filter(|slot| slot.model == *request.model);
        let loading = same.count();
        // Of a model that nobody serves one engine loads first, so that the first serves soonest;
        // later at most half of the replicas load, so that never all do.
        let bound = match request.serving {
            0 => 1,
            _ => (request.replicas / 2).max(1),
        };
        if others >= most || loading >= bound {
            return None;
        }
        let time = u64::try_from(SLOT_TIME.as_millis()).unwrap_or(u64::MAX);
        next.slots.push(Slot {
            holder: request.holder.clone(),
            model: request.model.clone(),
            until: request.now_unix_ms.saturating_add(time),
        });
        Some(next)
    }

    /// The slots without the holder's.
    pub fn give_back(&self, holder: &Name) -> Slots {
        let mut next = self.clone();
        next.slots.retain(|slot| slot.holder != *holder);
        next
    }
}
