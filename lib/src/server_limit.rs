//! Request limits that backend servers name: how many requests a second a server takes from all entries together.
//!
//! A server in need names its limit in its answers, for as long as it holds. Answers overtake each other, so that an
//! answer without a limit lifts one only where its request was sent after the limit had become known.

use crate::copy_type;
use crate::time::Time;

/// Thousandths in one.
const THOUSANDTHS: f64 = 1_000.0;

copy_type! {
    /// Requests a second, in thousandths.
    pub struct RequestRate(u32);

    /// What an answer has changed of a server's limit.
    pub enum LimitChange {
        /// It names its first limit, or another one than before.
        Named(RequestRate),
        /// It names none any more.
        Lifted,
    }
}

impl RequestRate {
    /// The rate; `None` for what is no number of requests. Rates that are too large to count are cut.
    pub fn new(per_second: f64) -> Option<Self> {
        let thousandths = (per_second * THOUSANDTHS).round();
        (per_second >= 0.0).then_some(RequestRate(thousandths as u32))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / THOUSANDTHS
    }
}

/// What is known of a server's limit.
#[derive(Clone, Debug, Default)]
pub struct LimitState {
    stated: Option<Statement>,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    // `None` where the limit was lifted.
    rate: Option<RequestRate>,
    at: Time,
}

impl LimitState {
    /// The limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.stated.and_then(|stated| stated.rate)
    }

    /// An answer to a request that was sent at `sent` names the limit, or none.
    pub fn answered(
        &mut self,
        now: Time,
        sent: Time,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let before = self.rate();
        let known = self.stated.map_or(Time::ZERO, |stated| stated.at);
        match limit {
            Some(_) => {
                self.stated = Some(Statement {
                    rate: limit,
                    at: now,
                })
            }
            None if before.is_some() && sent >= known => {
                self.stated = Some(Statement {
                    rate: None,
                    at: now,
                });
            }
            None => {}
        }
        match self.rate() {
            after if after == before => None,
            Some(rate) => Some(LimitChange::Named(rate)),
            None => Some(LimitChange::Lifted),
        }
    }
}
