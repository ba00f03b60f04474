//! Requests and prompt parts on which backend servers have answered.
//!
//! Load pattern: a server crashes under one of a hundred requests, while a request that many callers send and parts that
//! thousands of requests share are in flight there. What servers have answered on is excused the next crash, whose cause
//! is sought among the rest; if it kills from now on, later crashes count against it.

use std::collections::HashMap;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::time::Time;

/// The maximum number of requests that are remembered, and of parts; half of them for sure, the others are the oldest.
const MAX_REMEMBERED: usize = 16_384;

/// Time after the first crash beside a sound subject in which further ones are excused: one request may crash several
/// servers before anyone knows.
const EXCUSED_TIME: Duration = Duration::from_millis(500);

/// The sound requests and prompt parts that one entry knows of.
#[derive(Debug, Default)]
pub(crate) struct SoundSubjects {
    // Apart from each other, since each request is new to a service whose callers repeat none.
    requests: RecentAnswers,
    parts: RecentAnswers,
}

impl SoundSubjects {
    /// Records that an answer has begun on the subject and its server lives on.
    pub(crate) fn record_success(&mut self, now: Time, subject: Fingerprint) {
        self.table(subject).record(now, subject);
    }

    /// Whether an answer has begun on the subject since a crash, which it did not cause then.
    pub(crate) fn has_answered_since(&mut self, subject: Fingerprint, crashed_at: Time) -> bool {
        let sound = self.table(subject).find(subject);
        sound.is_some_and(|sound| sound.answered_at > crashed_at)
    }

    /// Whether a crash beside the subject does not count against it: it was sound, and no crash some time before was
    /// excused since.
    pub(crate) fn excuses(&mut self, subject: Fingerprint, crashed_at: Time) -> bool {
        let Some(sound) = self.table(subject).find(subject) else {
            return false;
        };
        let first = *sound.first_crash.get_or_insert(crashed_at);
        crashed_at.since(first) <= EXCUSED_TIME
    }

    fn table(&mut self, subject: Fingerprint) -> &mut RecentAnswers {
        match subject.is_prompt_part() {
            true => &mut self.parts,
            false => &mut self.requests,
        }
    }
}

/// What was answered last, forgotten by age.
#[derive(Debug, Default)]
struct RecentAnswers {
    // At most half of `MAX_REMEMBERED` each.
    recent: HashMap<Fingerprint, SoundSubject>,
    older: HashMap<Fingerprint, SoundSubject>,
}

#[derive(Clone, Copy, Debug)]
struct SoundSubject {
    answered_at: Time,
    // The first crash beside it since then.
    first_crash: Option<Time>,
}

impl RecentAnswers {
    fn record(&mut self, now: Time, subject: Fingerprint) {
        self.older.remove(&subject);
        let sound = SoundSubject {
            answered_at: now,
            first_crash: None,
        };
        self.recent.insert(subject, sound);
        if self.recent.len() >= MAX_REMEMBERED / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    fn find(&mut self, subject: Fingerprint) -> Option<&mut SoundSubject> {
        let recent = self.recent.get_mut(&subject);
        recent.or_else(|| self.older.get_mut(&subject))
    }
}
