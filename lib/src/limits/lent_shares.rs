//! The parts of its own share that a relay has lent.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::limits::LEASE;
use crate::limits::RECLAIM_MARGIN;
use crate::limits::loan_message::LoanFraction;
use crate::time::Time;

/// A grant that its borrower may still be using.
#[derive(Clone, Copy, Debug)]
struct Lent {
    fraction: LoanFraction,
    until: Time,
}

/// The loans of one service, by borrower.
#[derive(Clone, Debug, Default)]
pub(crate) struct LentShares {
    // Grants that renew each other: the borrower uses one of them, and the lender does not know which.
    grants: HashMap<SocketAddr, Vec<Lent>>,
}

impl LentShares {
    /// The lent fraction of this relay's equal share.
    pub(crate) fn total(&self, now: Time) -> f64 {
        self.total_except(now, None)
    }

    /// The fraction that is lent to others than the borrower.
    pub(crate) fn total_to_others(&self, now: Time, borrower: SocketAddr) -> f64 {
        self.total_except(now, Some(borrower))
    }

    /// Records a grant to the borrower.
    pub(crate) fn record(&mut self, now: Time, borrower: SocketAddr, fraction: LoanFraction) {
        self.remove_expired(now);
        let until = now + LEASE + RECLAIM_MARGIN;
        let grants = self.grants.entry(borrower).or_default();
        // A grant that is as large and ends later covers the earlier one.
        grants.retain(|lent| lent.fraction > fraction);
        grants.push(Lent { fraction, until });
    }

    /// Whether nothing is lent.
    pub(crate) fn is_empty(&self, now: Time) -> bool {
        self.total(now) <= 0.0
    }

    fn total_except(&self, now: Time, borrower: Option<SocketAddr>) -> f64 {
        let others = self.grants.iter().filter(|(to, _)| Some(**to) != borrower);
        others.map(|(_, grants)| largest(now, grants)).sum()
    }

    fn remove_expired(&mut self, now: Time) {
        self.grants.retain(|_, grants| {
            grants.retain(|lent| lent.until > now);
            !grants.is_empty()
        });
    }
}

fn largest(now: Time, grants: &[Lent]) -> f64 {
    let live = grants.iter().filter(|lent| lent.until > now);
    let largest = live.map(|lent| lent.fraction).max();
    largest.unwrap_or_default().value()
}
