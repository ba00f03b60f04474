//! Limits how many engines read weights from the weight store at the same time.
//!
//! When a rack or a whole service restarts, every engine needs its model at once. The weight store
//! is rate limited, so without a limit all loads would finish late and together, and until then no
//! replica of a model would serve. The slots are stored in one object of the platform's store,
//! which is changed by conditional updates. A decision takes O(slots).

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Name;
use crate::value_type;

/// How long a slot is valid without renewal. The holder renews it every minute while it loads.
///
/// Expiry is judged by the hosts' wall clocks. With clock skew, a slot ends early or late: that
/// costs loading time but breaks no guarantee.
pub const SLOT_DURATION: Duration = Duration::from_secs(180);

value_type! {
    /// A slot in use.
    pub struct Slot {
        /// The agent of the engine that loads.
        pub holder: Name,
        /// The model that it loads.
        pub model: Name,
        /// When the slot expires, in milliseconds since the Unix epoch.
        pub until: u64,
    }
}

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// The requesting agent.
    pub holder: &'a Name,
    /// The model to load.
    pub model: &'a Name,
    /// How many engines should hold the model.
    pub replicas: usize,
    /// How many other engines have the model loaded and serve it.
    pub serving: usize,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// The load slots of one weight store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSlots {
    /// The slots in use, at most one per holder.
    pub slots: Vec<Slot>,
}

impl LoadSlots {
    /// Grants or renews a slot. Returns the updated slots, to be written by a conditional update,
    /// or `None` if the request has to wait.
    pub fn acquire(&self, request: SlotRequest, max_slots: usize) -> Option<LoadSlots> {
        let mut next = self.clone();
        next.slots.retain(|slot| slot.until > request.now_unix_ms);
        next.slots.retain(|slot| slot.holder != *request.holder);
        let others_in_use = next.slots.len();
        let same_model = next
            .slots
            .iter()
            .filter(|slot| slot.model == *request.model);
        let loading = same_model.count();
        // If no engine serves the model, only one loads it, so that the first replica serves as
        // soon as possible. After that at most half of the replicas load at once, so that never all
        // do.
        let bound = match request.serving {
            0 => 1,
            _ => (request.replicas / 2).max(1),
        };
        if others_in_use >= max_slots || loading >= bound {
            return None;
        }
        let time = u64::try_from(SLOT_DURATION.as_millis()).unwrap_or(u64::MAX);
        next.slots.push(Slot {
            holder: request.holder.clone(),
            model: request.model.clone(),
            until: request.now_unix_ms.saturating_add(time),
        });
        Some(next)
    }

    /// Returns the slots without the holder's slot.
    pub fn release(&self, holder: &Name) -> LoadSlots {
        let mut next = self.clone();
        next.slots.retain(|slot| slot.holder != *holder);
        next
    }
}
