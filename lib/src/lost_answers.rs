//! Requests whose answers are lost again and again, though their servers seem to live on.
//!
//! Load pattern: a request crashes each server that runs it, but nothing shows the crash: a supervisor holds the server's
//! port, a proxy stands before it, or the host falls silent. All that an entry sees is a connection that breaks off, as it
//! does at resets and partitions. Requests of which one copy after the other is lost, with no success between, become
//! suspects, which are then tried one copy at a time.

use std::collections::HashMap;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::time::Time;

/// Losses in a row from which a request is a suspect.
const SUSPECT_FROM: u32 = 2;

/// Time within which losses count as in a row.
const LOSS_TTL: Duration = Duration::from_secs(30);

/// The maximum number of requests that are remembered. Further losses are not counted.
const MAX_REQUESTS: usize = 4_096;

/// The lost answers that one entry knows of.
#[derive(Debug, Default)]
pub struct LostAnswers {
    // At most `MAX_REQUESTS`.
    losses: HashMap<Fingerprint, Losses>,
}

#[derive(Debug)]
struct Losses {
    count: u32,
    latest: Time,
}

impl LostAnswers {
    /// Records a loss. Returns whether the request is a suspect by it.
    pub fn record_loss(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.remove_old(now);
        if !self.losses.contains_key(&fingerprint) && self.losses.len() >= MAX_REQUESTS {
            return false;
        }
        let losses = self.losses.entry(fingerprint).or_insert(Losses {
            count: 0,
            latest: now,
        });
        losses.count += 1;
        losses.latest = now;
        losses.count >= SUSPECT_FROM
    }

    /// Records an answer.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        self.losses.remove(&fingerprint);
    }

    /// Forgets losses that are too old to count.
    pub fn remove_old(&mut self, now: Time) {
        self.losses
            .retain(|_, losses| now.since(losses.latest) < LOSS_TTL);
    }

    /// Whether no loss counts.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }
}
