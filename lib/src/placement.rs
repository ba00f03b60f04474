//! Which engines are asked for their load before a stream is sent to one of them.
//!
//! Load pattern: a hundred relays send streams to a hundred engines, and a report of an engine reaches each
//! relay once in some hundred milliseconds. Many streams begin within that time, and every relay sends its
//! own to the engine that looked emptiest: prompts queue there for a second and more, while the engines
//! beside it are idle.
//!
//! So where reports come too seldom, a relay asks a few scouts at the moment of the choice, at a datagram
//! there and back. The engines are drawn at random, so that relays that ask at the same moment ask different
//! ones; drawn by the old reports they would meet again. A few are enough: of five that are drawn anew for each
//! stream the best is seldom busy unless nearly all are, and each more costs two datagrams.
//!
//! Where all that were asked are too crowded, others are asked once, those of other regions among them. There
//! is no third time: a burst would turn each refusal into a search.

use std::time::Duration;

use crate::copy_type;
use crate::routing::ServerKey;

/// Reports at longer intervals are too old to choose by: at the rate at which an engine reads, a prompt is
/// a few hundred milliseconds of it.
const LONGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Engines of the own availability zone, and of the others of the region, that are asked first.
const ASKED_ZONE: usize = 3;
const ASKED_REGION: usize = 2;

/// Engines of the region, and of other regions, that are asked where all of these are too crowded.
const ASKED_AGAIN: usize = 3;
const ASKED_FAR: usize = 3;

copy_type! {
    /// How far away a server is.
    pub enum Reach {
        /// In the own availability zone.
        Zone,
        /// In another one of the own region.
        Region,
        /// In another region.
        Far,
    }
}

copy_type! {
    /// Probe round of a placement.
    pub enum Round {
        /// The first.
        First,
        /// Retry after every engine probed first was overloaded.
        Second,
    }
}

/// A server that will do for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// How far away it is.
    pub reach: Reach,
}

/// Whether reports that come at such an interval are too old to choose by.
pub fn reports_too_sparse(interval: Duration) -> bool {
    interval > LONGEST_INTERVAL
}

/// The servers to probe in a round, of those that were not probed before.
pub fn probe_targets(
    round: Round,
    options: &[Candidate],
    rng: &mut fastrand::Rng,
) -> Vec<ServerKey> {
    let within = |reach: &[Reach]| -> Vec<Candidate> {
        let these = options.iter().filter(|c| reach.contains(&c.reach));
        these.copied().collect()
    };
    let near = [Reach::Zone, Reach::Region];
    let mut targets = match round {
        Round::First => sample(within(&[Reach::Zone]), ASKED_ZONE, rng),
        Round::Second => sample(within(&near), ASKED_AGAIN, rng),
    };
    targets.extend(match round {
        Round::First => sample(within(&[Reach::Region]), ASKED_REGION, rng),
        Round::Second => sample(within(&[Reach::Far]), ASKED_FAR, rng),
    });
    match targets.is_empty() {
        true => sample(options.to_vec(), ASKED_ZONE + ASKED_REGION, rng),
        false => targets,
    }
}

/// A random sample.
fn sample(options: Vec<Candidate>, count: usize, rng: &mut fastrand::Rng) -> Vec<ServerKey> {
    rng.choose_multiple(options.iter().map(|option| option.key), count)
}
