//! Loans of shares in servers' request limits, applied to the shares of one entry.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::fleet::Fleet;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::limits::Lender;
use crate::limits::Loan;
use crate::limits::LoanGrant;
use crate::limits::LoanRequest;
use crate::limits::MIN_SETTLED_TIME;
use crate::limits::ServiceDemand;
use crate::limits::ServicePosition;
use crate::limits::ShareLedger;
use crate::rendezvous::hash_address;
use crate::server_limit::effective_rate;
use crate::server_limit::equal_share;
use crate::server_limit::sharing_entries;
use crate::time::Time;

/// The most services whose demand an entry states: they fit into a datagram along with its other content.
const MAX_DEMANDS: usize = 4;

/// What an entry has lent and borrowed for one service.
struct ServiceTerms {
    kept: f64,
    loans: Vec<Loan>,
    // Address hashes of the lenders, in the order of `loans`.
    lenders: Vec<u64>,
    // When the first loan ends.
    until: Time,
}

impl ServiceTerms {
    fn new(kept: f64, loans: Vec<Loan>) -> Self {
        let lenders = loans.iter().map(|loan| hash_address(loan.lender));
        let until = loans.iter().map(|loan| loan.until).min();
        ServiceTerms {
            kept,
            lenders: lenders.collect(),
            until: until.unwrap_or(Time::ZERO),
            loans,
        }
    }
}

impl Fleet {
    /// Sets the loans given and taken, when the entry starts.
    pub fn with_ledger(mut self, ledger: ShareLedger) -> Self {
        self.ledger = ledger;
        self
    }

    /// The loans given and taken.
    pub fn ledger(&self) -> &ShareLedger {
        &self.ledger
    }

    /// The lent part of this entry's own shares and the sum of the borrowed parts of others', in equal shares.
    pub fn loan_totals(&self, now: Time, service: &Name) -> (f64, f64) {
        let lent = 1.0 - self.ledger.kept_fraction(now, service);
        let relays = self.entry_shares.digest().unwrap_or_default();
        let loans = self.ledger.loans(now, service, relays);
        (lent, loans.iter().map(|loan| loan.fraction).sum())
    }

    /// The services that have servers with a limit.
    pub fn limited_services(&self) -> BTreeSet<Name> {
        let limited = self.servers.values().filter(|server| is_limited(server));
        limited
            .map(|server| server.record.service.clone())
            .collect()
    }

    /// The recent demand for the limited servers of each service.
    pub fn service_demands(&self, now: Time) -> Vec<ServiceDemand> {
        let services = self.limited_services().into_iter().take(MAX_DEMANDS);
        let demands = services.map(|service| ServiceDemand {
            per_second: self.ledger.demand(now, &service).ceil() as u32,
            service,
        });
        demands.collect()
    }

    /// Records a request that was rejected since this entry's shares are used up.
    pub fn record_limit_rejection(&mut self, now: Time, service: &Name) {
        self.ledger.record_demand(now, service);
    }

    /// The requests for loans to send now, if the entries that can be reached are `lenders`, in random order.
    pub fn loan_requests(
        &mut self,
        now: Time,
        service: &Name,
        lenders: Vec<Lender>,
    ) -> Vec<(SocketAddr, LoanRequest)> {
        let Some(position) = self.service_position(service) else {
            return Vec::new();
        };
        self.ledger.requests(now, service, position, lenders)
    }

    /// Decides on another entry's request for a loan. The shares are lower when this returns. `None` if the limits or
    /// the other entries are not known.
    pub fn grant_loan(
        &mut self,
        now: Time,
        borrower: SocketAddr,
        request: &LoanRequest,
    ) -> Option<LoanGrant> {
        let position = self.service_position(&request.service)?;
        Some(self.ledger.grant(now, borrower, request, position))
    }

    /// Applies an entry's answer to a request for a loan. `None` if it is ignored. The loan is used from the next settlement
    /// on.
    pub fn apply_loan_grant(
        &mut self,
        now: Time,
        lender: SocketAddr,
        grant: &LoanGrant,
    ) -> Option<Loan> {
        self.ledger.apply_grant(now, lender, grant)
    }

    /// Applies what is lent and borrowed to the shares of all limited servers. Must be called regularly while there are
    /// loans: a share rises only then.
    pub fn settle_shares(&mut self, now: Time) {
        let Some(relays) = self.entry_shares.digest() else {
            return;
        };
        let mut terms: HashMap<Name, ServiceTerms> = HashMap::new();
        for service in self.limited_services() {
            let kept = self.ledger.kept_fraction(now, &service);
            let mut loans = self.ledger.loans(now, &service, relays);
            loans.retain(|loan| loan.until.since(now) >= MIN_SETTLED_TIME);
            terms.insert(service, ServiceTerms::new(kept, loans));
        }
        for server in self.servers.values_mut() {
            let (Some(rate), Some(terms)) =
                (server.limit.rate(), terms.get(&server.record.service))
            else {
                continue;
            };
            let address = server.record.address;
            let sharing = sharing_entries(rate, &self.entry_shares);
            let selected = self
                .entry_shares
                .selected_of(address, sharing, &terms.lenders);
            let lent = terms.loans.iter().zip(selected);
            let lent = lent.filter(|(_, selected)| *selected);
            let fractions: f64 = lent.map(|(loan, _)| loan.fraction).sum();
            let borrowed = (fractions / sharing as f64, terms.until);
            let limit = &mut server.limit;
            limit.settle(now, address, &self.entry_shares, terms.kept, borrowed);
        }
    }

    /// Returns to shares that do not change by loans. Only without loans.
    pub fn end_settlements(&mut self) {
        for server in self.servers.values_mut() {
            server.limit.end_settlement();
        }
    }

    /// This entry's position in the limits of a service; `None` if its servers have no limits, or the other entries
    /// are not known.
    fn service_position(&self, service: &Name) -> Option<ServicePosition> {
        let relays = self.entry_shares.digest()?;
        let count = self.entry_shares.count()?;
        let (mut own, mut all) = (0.0, 0.0);
        let servers = self.servers.values();
        for server in servers.filter(|s| is_limited(s) && s.record.service == *service) {
            let rate = server.limit.rate()?;
            own += equal_share(rate, &self.entry_shares, server.record.address);
            all += effective_rate(rate);
        }
        (all > 0.0).then(|| ServicePosition {
            own_share: own,
            mean_share: all / count as f64,
            relays,
        })
    }
}

/// Whether requests to the server are limited now.
fn is_limited(server: &Server) -> bool {
    server.listed && server.leaving.is_none() && server.limit.rate().is_some()
}
