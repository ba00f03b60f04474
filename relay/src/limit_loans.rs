//! Loans of shares in servers' request limits: requests and answers between relays, log lines and counters.
//! `cicada_lib::limits` decides.

use std::net::SocketAddr;

use cicada_lib::fleet::Fleet;
use cicada_lib::ids::Name;
use cicada_lib::limits::LoanGrant;
use cicada_lib::limits::LoanMessage;
use cicada_lib::limits::LoanRequest;
use cicada_lib::limits::MIN_LOAN;
use cicada_lib::limits::ServiceDemand;
use cicada_lib::limits::ShareLedger;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::time::Time;

use crate::peer_net::PeerNet;
use crate::relay::Relay;
use crate::relay_settings::RelaySettings;

/// The fleet of a relay that starts now. If relays lend, its former process may have lent parts of its shares.
pub(crate) fn new_fleet(settings: &RelaySettings, now: Time) -> Fleet {
    let ledger = ShareLedger::new(fastrand::u32(..));
    let ledger = match settings.reloadable.policy.lend {
        true => ledger.with_former_loans(now),
        false => ledger,
    };
    Fleet::new(settings.place.clone()).with_ledger(ledger)
}

impl Relay {
    /// The demand that other relays are told of; none while no server announces a limit.
    pub(crate) fn service_demands(&self) -> Vec<ServiceDemand> {
        match self.policy().lend {
            true => self.fleet().service_demands(self.now()),
            false => Vec::new(),
        }
    }

    /// Applies what is lent and borrowed, and returns the services for which this relay may ask for loans.
    fn settle_shares(&self) -> Vec<Name> {
        let now = self.now();
        let lends = self.policy().lend;
        let mut fleet = self.fleet();
        if !lends && fleet.ledger().is_idle(now) {
            fleet.end_settlements();
            return Vec::new();
        }
        fleet.settle_shares(now);
        let services = fleet.limited_services();
        for service in &services {
            let (lent, borrowed) = fleet.loan_totals(now, service);
            self.metrics().set_loan_shares(service, lent, borrowed);
        }
        match lends {
            true => services.into_iter().collect(),
            false => Vec::new(),
        }
    }

    /// The requests for loans for a service.
    fn loan_requests(&self, service: &Name) -> Vec<(SocketAddr, LoanRequest)> {
        let now = self.now();
        let lenders = self.peers().lenders(now, service);
        let reachable = lenders.len();
        let mut fleet = self.fleet();
        let demand = fleet.ledger().demand(now, service);
        let requests = fleet.loan_requests(now, service, lenders);
        drop(fleet);
        for (lender, request) in &requests {
            let fraction = request.fraction.value();
            tracing::debug!(%service, %lender, fraction, demand, reachable, "limits: asked for a part of a share");
            self.metrics().count_loan("asked");
        }
        requests
    }

    /// Answers another relay's request for a loan.
    fn answer_loan_request(&self, from: SocketAddr, request: &LoanRequest) -> Option<LoanGrant> {
        if !self.policy().lend {
            return None;
        }
        let now = self.now();
        let mut fleet = self.fleet();
        let grant = fleet.grant_loan(now, from, request)?;
        let demand = fleet.ledger().demand(now, &request.service);
        drop(fleet);
        let (service, fraction) = (&grant.service, grant.fraction.value());
        let asked = request.fraction.value();
        if fraction > 0.0 {
            tracing::info!(%service, borrower = %from, fraction, asked, demand, "limits: lent a part of the share");
            self.metrics().count_loan("lent");
        } else {
            tracing::debug!(%service, borrower = %from, asked, demand, "limits: lent nothing");
            self.metrics().count_loan("denied");
        }
        Some(grant)
    }

    /// Applies another relay's answer to a request for a loan.
    fn apply_loan_grant(&self, from: SocketAddr, grant: &LoanGrant) {
        let now = self.now();
        let mut fleet = self.fleet();
        let loan = fleet.apply_loan_grant(now, from, grant);
        let demand = fleet.ledger().demand(now, &grant.service);
        drop(fleet);
        let service = &grant.service;
        let Some(loan) = loan else {
            tracing::debug!(%service, lender = %from, "limits: ignored an answer to no open request");
            return self.metrics().count_loan("ignored");
        };
        if loan.fraction < MIN_LOAN {
            return self.metrics().count_loan("refused");
        }
        let left_ms = loan.until.since(now).as_millis() as u64;
        let fraction = loan.fraction;
        tracing::info!(%service, lender = %from, fraction, left_ms, demand, "limits: borrowed a part of a share");
        self.metrics().count_loan("borrowed");
    }
}

impl PeerNet {
    /// Applies what is lent and borrowed, and asks other relays for parts of their shares where this relay's shares do not
    /// cover its demand.
    pub(crate) async fn request_loans(&self) {
        for service in self.relay.settle_shares() {
            for (lender, request) in self.relay.loan_requests(&service) {
                self.send_loan(lender, LoanMessage::Request(request)).await;
            }
        }
    }

    /// Handles another relay's message about loans.
    pub(crate) async fn handle_loan(&self, from: SocketAddr, message: LoanMessage) {
        match message {
            LoanMessage::Request(request) => {
                if let Some(grant) = self.relay.answer_loan_request(from, &request) {
                    self.send_loan(from, LoanMessage::Grant(grant)).await;
                }
            }
            LoanMessage::Grant(grant) => self.relay.apply_loan_grant(from, &grant),
        }
    }

    async fn send_loan(&self, to: SocketAddr, message: LoanMessage) {
        self.socket.send(&Datagram::LimitLoan(message), &[to]).await;
    }
}
