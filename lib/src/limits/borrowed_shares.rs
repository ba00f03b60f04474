//! The parts of other relays' shares that a relay has borrowed or asked for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::limits::FLOOR;
use crate::limits::LEASE;
use crate::limits::MAX_LENDERS;
use crate::limits::MIN_LOAN;
use crate::limits::RENEWAL_AGE;
use crate::limits::lender_choice;
use crate::limits::lender_choice::Lender;
use crate::limits::loan_message::LoanFraction;
use crate::limits::share_ledger::ServicePosition;
use crate::time::Time;

/// Time after which the renewal of a loan is sent again: it leaves time for an answer before the loan ends.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an answer is no longer expected, so that other relays are asked for the same part. Several round trips
/// between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a relay that has granted less than it was asked for is not asked again. With [`MAX_LENDERS`] relays this is under
/// 1 KB/s.
const EXHAUSTED_TIME: Duration = Duration::from_millis(800);

/// The largest loan.
const MAX_LOAN: f64 = 1.0 - FLOOR;

/// A loan that this relay may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loan {
    /// The relay that lent it.
    pub lender: SocketAddr,
    /// The fraction of the lender's equal share.
    pub fraction: f64,
    /// When it ends.
    pub until: Time,
    // Digest of the relays that both knew.
    relays: u32,
}

/// A request that has not been answered.
#[derive(Clone, Copy, Debug)]
struct Pending {
    number: u32,
    sent_at: Time,
    relays: u32,
    fraction: LoanFraction,
}

/// The loans of one service, by lender.
#[derive(Clone, Debug, Default)]
pub(crate) struct BorrowedShares {
    loans: HashMap<SocketAddr, Loan>,
    pending: HashMap<SocketAddr, Pending>,
    // Relays that granted less than asked for, and until when they are not asked again.
    exhausted: HashMap<SocketAddr, Time>,
}

impl BorrowedShares {
    /// The loans in force, for a relay that knows the relays with this digest.
    pub(crate) fn loans(&self, now: Time, relays: u32) -> impl Iterator<Item = Loan> + '_ {
        let loans = self.loans.values().copied();
        loans.filter(move |loan| loan.until > now && loan.relays == relays)
    }

    /// Records a request that is being sent.
    pub(crate) fn record_request(
        &mut self,
        now: Time,
        lender: SocketAddr,
        (number, relays): (u32, u32),
        fraction: LoanFraction,
    ) {
        let pending = Pending {
            number,
            sent_at: now,
            relays,
            fraction,
        };
        self.pending.insert(lender, pending);
    }

    /// Applies a grant, and returns the loan. Ignores answers to other requests than the last one to the lender, and
    /// answers that arrive after the lease.
    pub(crate) fn apply_grant(
        &mut self,
        now: Time,
        lender: SocketAddr,
        number: u32,
        granted: LoanFraction,
    ) -> Option<Loan> {
        let pending = *self.pending.get(&lender)?;
        let until = pending.sent_at + LEASE;
        if pending.number != number || until <= now {
            return None;
        }
        self.pending.remove(&lender);
        if granted < pending.fraction {
            self.exhausted.insert(lender, now + EXHAUSTED_TIME);
        }
        let loan = Loan {
            lender,
            fraction: granted.min(pending.fraction).value(),
            until,
            relays: pending.relays,
        };
        // A loan whose renewal is refused stays in force until its own end.
        if loan.fraction >= MIN_LOAN {
            self.loans.insert(lender, loan);
        }
        Some(loan)
    }

    /// Whether the loan is due for renewal.
    fn is_renewal_due(loan: &Loan, now: Time) -> bool {
        loan.until.since(now) <= LEASE - RENEWAL_AGE
    }

    /// Whether the relay may be asked: it has not answered with less than asked for lately, and owes no answer.
    fn may_ask(&self, now: Time, lender: SocketAddr) -> bool {
        let exhausted = self
            .exhausted
            .get(&lender)
            .is_some_and(|until| *until > now);
        !exhausted && !self.awaits_answer(now, lender)
    }

    /// Whether a request to the relay is open. The renewal of a loan counts as lost in time for a second attempt. A relay
    /// that lends nothing and does not answer counts as unreachable until the lease would be over.
    fn awaits_answer(&self, now: Time, lender: SocketAddr) -> bool {
        let Some(pending) = self.pending.get(&lender) else {
            return false;
        };
        let patience = match self.loans.contains_key(&lender) {
            true => RENEWAL_TIMEOUT,
            false => LEASE,
        };
        now.since(pending.sent_at) < patience
    }

    /// The sum of the fractions asked of relays from which there is no loan, as far as an answer can be expected.
    fn expected(&self, now: Time) -> f64 {
        let new = self.pending.iter().filter(|(lender, pending)| {
            !self.loans.contains_key(*lender) && now.since(pending.sent_at) < ANSWER_TIMEOUT
        });
        new.map(|(_, pending)| pending.fraction.value()).sum()
    }

    /// The number of relays that lend or were asked.
    fn lender_count(&self) -> usize {
        let asked = self.pending.keys();
        let asked = asked.filter(|lender| !self.loans.contains_key(*lender));
        self.loans.len() + asked.count()
    }

    /// Forgets loans, requests and refusals that are over.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.loans.retain(|_, loan| loan.until > now);
        self.pending
            .retain(|_, pending| pending.sent_at + LEASE > now);
        self.exhausted.retain(|_, until| *until > now);
    }

    /// Whether there is nothing to remember.
    pub(crate) fn is_empty(&self) -> bool {
        self.loans.is_empty() && self.pending.is_empty()
    }

    /// The relays to ask now for `wanted` equal shares in all: those whose loans are due for renewal, then others.
    pub(crate) fn plan(
        &self,
        now: Time,
        position: ServicePosition,
        wanted: f64,
        lenders: Vec<Lender>,
    ) -> Vec<(SocketAddr, LoanFraction)> {
        let mut left = wanted - self.expected(now);
        let mut asked = Vec::new();
        let mut current: Vec<Loan> = self.loans(now, position.relays).collect();
        current.sort_by(|a, b| {
            b.fraction
                .total_cmp(&a.fraction)
                .then(a.lender.cmp(&b.lender))
        });
        let mut renewals = Vec::new();
        for loan in &current {
            renewals.push((loan, loan.fraction.min(left.max(0.0))));
            left -= loan.fraction;
        }
        for (loan, kept) in renewals {
            let growth = left.clamp(0.0, (MAX_LOAN - kept).max(0.0));
            let fraction = kept + growth;
            let is_due = Self::is_renewal_due(loan, now) || growth >= MIN_LOAN;
            if is_due && fraction >= MIN_LOAN && self.may_ask(now, loan.lender) {
                asked.push((loan.lender, LoanFraction::new(fraction)));
                left -= growth;
            }
        }
        let others = lenders.into_iter().filter(|lender| {
            let lends = current.iter().any(|loan| loan.lender == lender.relay);
            !lends && self.may_ask(now, lender.relay)
        });
        let count = MAX_LENDERS.saturating_sub(self.lender_count());
        let others = others.collect();
        asked.extend(lender_choice::choose_lenders(
            others,
            position.mean_share,
            left,
            count,
        ));
        asked
    }
}
