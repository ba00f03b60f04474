//! The messages by which relays borrow and lend.

use crate::copy_type;
use crate::ids::Name;
use crate::value_type;

/// The number of units of a [`LoanFraction`] in an equal share.
const UNITS: f64 = 1_000.0;

/// Part of a unit that makes up for the rounding of floating-point numbers: a fraction converted to a number and back
/// stays the same.
const ROUNDING: f64 = 1e-6;

copy_type! {
    /// A fraction of an equal share, in thousandths.
    #[derive(Default)]
    pub struct LoanFraction(u16);
}

impl LoanFraction {
    /// Creates a fraction, rounded down. Values outside 0 to 1 are set to the nearer end, NaN to zero.
    pub fn new(fraction: f64) -> Self {
        LoanFraction((fraction.clamp(0.0, 1.0) * UNITS + ROUNDING) as u16)
    }

    /// The fraction; at most 1, whatever another process has sent.
    pub fn value(self) -> f64 {
        (f64::from(self.0) / UNITS).min(1.0)
    }
}

value_type! {
    /// A request for a part of another relay's share.
    pub struct LoanRequest {
        /// The service whose servers announce limits.
        pub service: Name,
        /// The request's number, unique among those of its sender.
        pub number: u32,
        /// Digest of the relays that the sender knows.
        pub relays: u32,
        /// The wanted part.
        pub fraction: LoanFraction,
    }

    /// The answer to a [`LoanRequest`].
    pub struct LoanGrant {
        /// The service.
        pub service: Name,
        /// The number of the request.
        pub number: u32,
        /// The lent part; zero if the lender has none to spare.
        pub fraction: LoanFraction,
    }

    /// A message about loans between two relays.
    pub enum LoanMessage {
        /// A relay asks for a loan, or renews one.
        Request(LoanRequest),
        /// The lender answers.
        Grant(LoanGrant),
    }

    /// What a relay tells others of its demand for a service whose servers announce limits.
    pub struct ServiceDemand {
        /// The service.
        pub service: Name,
        /// Its recent demand in requests per second, rounded up.
        pub per_second: u32,
    }
}
