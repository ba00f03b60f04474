//! Prompt parts on which backend servers have answered.
//!
//! Load pattern: a server crashes under one of a hundred requests, and parts that thousands of requests share are in flight
//! there. A part on which answers have begun is excused the next crash, whose cause is sought among the other parts; if it
//! kills from now on, later crashes count against it.

use std::collections::HashMap;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::time::Time;

/// The maximum number of parts that are remembered, half of them for sure; the others are the oldest.
const MAX_PARTS: usize = 16_384;

/// Time after the first crash beside a sound part in which further ones are excused: one request may crash several servers
/// before anyone knows.
const EXCUSED_TIME: Duration = Duration::from_millis(500);

/// The sound parts that one entry knows of.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    // At most half of `MAX_PARTS` each.
    recent: HashMap<Fingerprint, SoundPart>,
    older: HashMap<Fingerprint, SoundPart>,
}

#[derive(Clone, Copy, Debug)]
struct SoundPart {
    answered_at: Time,
    // The first crash beside it since then.
    first_crash: Option<Time>,
}

impl SoundParts {
    /// Records that an answer has begun on the part and its server lives on.
    pub(crate) fn record_success(&mut self, now: Time, part: Fingerprint) {
        self.older.remove(&part);
        let sound = SoundPart {
            answered_at: now,
            first_crash: None,
        };
        self.recent.insert(part, sound);
        if self.recent.len() >= MAX_PARTS / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    /// Whether an answer has begun on the part since a crash, which it did not cause then.
    pub(crate) fn has_answered_since(&self, part: Fingerprint, crashed_at: Time) -> bool {
        let sound = self.recent.get(&part).or_else(|| self.older.get(&part));
        sound.is_some_and(|sound| sound.answered_at > crashed_at)
    }

    /// Whether a crash beside the part does not count against it: it was sound, and no crash some time before was excused
    /// since.
    pub(crate) fn excuses(&mut self, part: Fingerprint, crashed_at: Time) -> bool {
        let recent = self.recent.get_mut(&part);
        let Some(sound) = recent.or_else(|| self.older.get_mut(&part)) else {
            return false;
        };
        let first = *sound.first_crash.get_or_insert(crashed_at);
        crashed_at.since(first) <= EXCUSED_TIME
    }
}
