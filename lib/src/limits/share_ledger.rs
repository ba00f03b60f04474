//! The loans of one relay, given and taken.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::ids::Name;
use crate::limits::BORROWER_HEADROOM;
use crate::limits::FLOOR;
use crate::limits::LEASE;
use crate::limits::MIN_LOAN;
use crate::limits::RECLAIM_MARGIN;
use crate::limits::borrowed_shares::BorrowedShares;
use crate::limits::borrowed_shares::Loan;
use crate::limits::demand_meter::DemandMeter;
use crate::limits::lender_choice;
use crate::limits::lender_choice::Lender;
use crate::limits::lent_shares::LentShares;
use crate::limits::loan_message::LoanFraction;
use crate::limits::loan_message::LoanGrant;
use crate::limits::loan_message::LoanRequest;
use crate::time::Time;

/// A relay's position in the limits of a service, in requests per second for all its limited servers together.
#[derive(Clone, Copy, Debug)]
pub struct ServicePosition {
    /// The relay's own equal share, without loans. Zero if it is selected for none of the servers.
    pub own_share: f64,
    /// The mean equal share of all relays.
    pub mean_share: f64,
    /// Digest of the relays that this one knows.
    pub relays: u32,
}

/// The loans and the demand of one service.
#[derive(Clone, Debug, Default)]
struct ServiceLoans {
    demand: DemandMeter,
    lent: LentShares,
    borrowed: BorrowedShares,
}

/// Which parts of its shares a relay has lent, and which it may use of others'.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    services: HashMap<Name, ServiceLoans>,
    last_number: u32,
    // Until when loans of a former process of this relay may be in use.
    restricted_until: Time,
}

impl ShareLedger {
    /// Creates a ledger without loans. `seed` is random, so that answers to requests of a former process of this relay are
    /// not taken for answers to new ones.
    pub fn new(seed: u32) -> Self {
        ShareLedger {
            last_number: seed,
            ..ShareLedger::default()
        }
    }

    /// Takes into account that a former process of this relay, which ended before `now`, may have lent all but the floor.
    pub fn with_former_loans(mut self, now: Time) -> Self {
        self.restricted_until = now + LEASE + RECLAIM_MARGIN;
        self
    }

    /// Whether loans of a former process may be in use.
    pub fn is_restricted(&self, now: Time) -> bool {
        now < self.restricted_until
    }

    /// Records a request to a limited server of the service, sent or rejected for a limit.
    pub fn record_demand(&mut self, now: Time, service: &Name) {
        if let Some(loans) = self.services.get_mut(service) {
            loans.demand.record(now);
            return;
        }
        let mut loans = ServiceLoans::default();
        loans.demand.record(now);
        self.services.insert(service.clone(), loans);
    }

    /// The recent demand for the limited servers of the service, in requests per second.
    pub fn demand(&self, now: Time, service: &Name) -> f64 {
        let loans = self.services.get(service);
        loans.map_or(0.0, |loans| loans.demand.per_second(now))
    }

    /// The fraction of its equal share that this relay may use itself.
    pub fn kept_fraction(&self, now: Time, service: &Name) -> f64 {
        if self.is_restricted(now) {
            return FLOOR;
        }
        let loans = self.services.get(service);
        loans.map_or(1.0, |loans| (1.0 - loans.lent.total(now)).max(0.0))
    }

    /// The loans that this relay may use, if it knows the relays with this digest.
    pub fn loans(&self, now: Time, service: &Name, relays: u32) -> Vec<Loan> {
        let loans = self.services.get(service);
        loans.map_or(Vec::new(), |loans| {
            loans.borrowed.loans(now, relays).collect()
        })
    }

    /// Whether nothing is lent or borrowed.
    pub fn is_idle(&self, now: Time) -> bool {
        let mut services = self.services.values();
        services.all(|loans| loans.borrowed.is_empty() && loans.lent.is_empty(now))
    }

    /// Decides on another relay's request. The own share is lower from now on.
    pub fn grant(
        &mut self,
        now: Time,
        borrower: SocketAddr,
        request: &LoanRequest,
        position: ServicePosition,
    ) -> LoanGrant {
        let fraction = match self.is_restricted(now) || request.relays != position.relays {
            true => LoanFraction::default(),
            false => self.spare_for(now, borrower, request, position),
        };
        if fraction > LoanFraction::default() {
            let loans = self.services.entry(request.service.clone()).or_default();
            loans.lent.record(now, borrower, fraction);
        }
        LoanGrant {
            service: request.service.clone(),
            number: request.number,
            fraction,
        }
    }

    fn spare_for(
        &self,
        now: Time,
        borrower: SocketAddr,
        request: &LoanRequest,
        position: ServicePosition,
    ) -> LoanFraction {
        let demand = self.demand(now, &request.service);
        let spare = lender_choice::spare_fraction(demand, position.own_share);
        let loans = self.services.get(&request.service);
        let lent = loans.map_or(0.0, |loans| loans.lent.total_to_others(now, borrower));
        let fraction = (spare - lent).min(request.fraction.value());
        match fraction >= MIN_LOAN {
            true => LoanFraction::new(fraction),
            false => LoanFraction::default(),
        }
    }

    /// Applies the answer of a relay, and returns the loan; `None` if the answer is ignored.
    pub fn apply_grant(
        &mut self,
        now: Time,
        lender: SocketAddr,
        grant: &LoanGrant,
    ) -> Option<Loan> {
        let loans = self.services.get_mut(&grant.service)?;
        loans
            .borrowed
            .apply_grant(now, lender, grant.number, grant.fraction)
    }

    /// The requests to send now, so that this relay's share covers its demand. `lenders` are the other relays that can be
    /// reached, in random order.
    pub fn requests(
        &mut self,
        now: Time,
        service: &Name,
        position: ServicePosition,
        lenders: Vec<Lender>,
    ) -> Vec<(SocketAddr, LoanRequest)> {
        let kept = self.kept_fraction(now, service) * position.own_share;
        let Some(loans) = self.services.get_mut(service) else {
            return Vec::new();
        };
        loans.borrowed.remove_expired(now);
        let demand = loans.demand.per_second(now) * BORROWER_HEADROOM;
        let wanted = (demand - kept) / position.mean_share;
        if !wanted.is_finite() || wanted < MIN_LOAN {
            return Vec::new();
        }
        let asked = loans.borrowed.plan(now, position, wanted, lenders);
        let requests = asked.into_iter().map(|(lender, fraction)| {
            self.last_number = self.last_number.wrapping_add(1);
            let number = self.last_number;
            let borrowed = &mut loans.borrowed;
            borrowed.record_request(now, lender, (number, position.relays), fraction);
            let request = LoanRequest {
                service: service.clone(),
                number,
                relays: position.relays,
                fraction,
            };
            (lender, request)
        });
        requests.collect()
    }
}
