//! Which relays a borrower asks, and for how much.

use std::net::SocketAddr;

use crate::limits::FLOOR;
use crate::limits::LENDER_HEADROOM;
use crate::limits::MIN_LOAN;
use crate::limits::loan_message::LoanFraction;

/// Another relay that can be reached.
#[derive(Clone, Copy, Debug)]
pub struct Lender {
    /// Its address.
    pub relay: SocketAddr,
    /// Its last stated demand for the service, in requests per second.
    pub demand: f64,
}

/// The relays to ask for `wanted` equal shares, at most `count` of them, those with the least demand first. `equal_share`
/// is in requests per second.
pub(crate) fn choose_lenders(
    mut lenders: Vec<Lender>,
    equal_share: f64,
    wanted: f64,
    count: usize,
) -> Vec<(SocketAddr, LoanFraction)> {
    // The sort is stable, so that relays of equal demand stay in the caller's random order.
    lenders.sort_by(|a, b| a.demand.total_cmp(&b.demand));
    let mut left = wanted;
    let mut asked = Vec::new();
    for lender in lenders.into_iter().take(count) {
        let fraction = left.min(spare_fraction(lender.demand, equal_share));
        if fraction < MIN_LOAN {
            break;
        }
        left -= fraction;
        asked.push((lender.relay, LoanFraction::new(fraction)));
    }
    asked
}

/// The fraction of its equal share that a relay with this demand can lend.
pub(crate) fn spare_fraction(demand: f64, equal_share: f64) -> f64 {
    if equal_share <= 0.0 {
        return 0.0;
    }
    let kept = (demand * LENDER_HEADROOM / equal_share).max(FLOOR);
    (1.0 - kept).max(0.0)
}
