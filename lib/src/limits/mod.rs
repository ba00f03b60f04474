//! Loans of request limits: which part of a relay's share in the servers' request limits another relay may use, and for
//! how long.
//!
//! Load pattern: a load balancer sends most new connections to one relay for some seconds. The limits that the servers of
//! a service announce are divided equally between all relays, so this relay rejects requests while the shares of all
//! others are unused.
//!
//! Each relay decides for itself. A relay whose demand exceeds its share asks relays with little demand for a part of
//! theirs. A lender lowers its own share before it answers, and raises it again only after the lease and a margin; the
//! borrower uses the loan for one lease from the time of its request, by its own clock. A request precedes its grant,
//! so the use always ends before the lender takes the part back, whatever happens to the messages in between. A part of
//! each share, the floor, is never lent: a relay that has just started does not know what its former process has lent,
//! and uses only the floor until every loan of that process has ended.
//!
//! Loans are fractions of an equal share and apply to all limited servers of a service alike. Lender and borrower must
//! know the same relays, since otherwise their equal shares differ.

mod borrowed_shares;
mod demand_meter;
mod lender_choice;
mod lent_shares;
mod loan_message;
mod share_ledger;

pub use borrowed_shares::Loan;
pub use lender_choice::Lender;
pub use loan_message::LoanFraction;
pub use loan_message::LoanGrant;
pub use loan_message::LoanMessage;
pub use loan_message::LoanRequest;
pub use loan_message::ServiceDemand;
pub use share_ledger::ServicePosition;
pub use share_ledger::ShareLedger;

use std::time::Duration;

/// How long a borrower may use a loan, from the time of its request. Limits must follow a shift of traffic within 5 s,
/// which this allows with a second attempt.
pub const LEASE: Duration = Duration::from_secs(2);

/// Time after the lease until the lender uses the part itself. Covers the difference in network delay between the last
/// request of the borrower and the first one of the lender, and clocks that run at slightly different speeds.
pub const RECLAIM_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which what is lent and borrowed is applied to the shares of servers.
pub const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

/// A loan that ends sooner is left out of a settlement. Otherwise it could end before the next one, and the entry would use
/// none of its loans until then. The settlement interval, and as much for its delay.
pub(crate) const MIN_SETTLED_TIME: Duration = Duration::from_millis(400);

/// The fraction of its share that a relay never lends. With half of the share, a relay that gets all connections could use
/// little more than half of the limit; with a tenth, a restarted relay would reject most requests for one lease.
pub const FLOOR: f64 = 0.25;

/// Loans smaller than this fraction are neither asked for nor granted: they are not worth the messages.
pub const MIN_LOAN: f64 = 0.05;

/// The age at which a loan is renewed. Leaves time for a second attempt when a message is lost.
const RENEWAL_AGE: Duration = Duration::from_millis(1_200);

/// The most relays that a relay borrows from for a service. Bounds its traffic for loans to 1 KB/s each way.
const MAX_LENDERS: usize = 24;

/// The share that a lender keeps, as a multiple of its own recent demand: it cannot take a loan back early.
const LENDER_HEADROOM: f64 = 1.5;

/// The share that a borrower asks for, as a multiple of its own recent demand: requests do not arrive evenly.
const BORROWER_HEADROOM: f64 = 1.25;
