//! Which relay of a region watches the directory, and when another one takes over.
//!
//! Load pattern: one watcher a region saves a call per relay and change. When it dies, or the directory is away, all
//! relays of the region notice at the same time: if each called the directory, hundreds of them would use up its rate
//! limit, and their failing calls would keep it busy. And a relay that hears the watcher directly only now and then,
//! because the region is larger than the number of relays that a watcher tells, would take over from a live one.
//!
//! So statements about watchers are passed on with their age, and a relay that knows of no live watcher calls at a
//! random time that grows with the relays of the region: together they call at a fixed rate, whatever their number.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Time;
use crate::value_type;

/// Mean interval between the calls of all relays of an unwatched region.
const CALL_SPACING: Duration = Duration::from_millis(150);

/// Age from which a watcher's last statement is too old in a region where each relay hears it directly: a little more
/// than three hellos.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Relays that a watcher tells directly with each hello; in a larger region the others hear of it from these.
pub const DIRECTLY_TOLD: usize = 40;

/// Factor by which the relays that have heard grow with each hello that is passed on within the region, and the time
/// that this takes.
const SPREAD_FACTOR: f64 = 4.0;
const SPREAD_TIME: Duration = Duration::from_millis(400);

/// Statements that are passed on with a hello.
const MAX_STATEMENTS: usize = 2;

value_type! {
    /// Whether a relay watches the directory, as it stated some time ago.
    pub struct WatchStatement {
        /// The relay.
        pub relay: SocketAddr,
        /// Whether it watches.
        pub watches: bool,
        /// Milliseconds since it said so.
        pub age_ms: u32,
    }
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    made_at: Time,
    watches: bool,
}

/// What is known of the watchers of one region.
#[derive(Clone, Debug, Default)]
pub struct WatchElection {
    statements: HashMap<SocketAddr, Statement>,
}

impl WatchElection {
    /// Records what a relay of the region stated so long ago. Older statements than the known one change nothing.
    pub fn record(&mut self, now: Time, relay: SocketAddr, watches: bool, age: Duration) {
        let made_at = now.before(age);
        let known = self.statements.get(&relay);
        let is_news = known.is_none_or(|known| known.made_at < made_at);
        // Most relays never watch; only a watcher's end is worth keeping.
        if is_news && (watches || known.is_some()) {
            let statement = Statement { made_at, watches };
            self.statements.insert(relay, statement);
        }
    }

    /// The latest statements, to be passed on, in a region of so many relays.
    pub fn statements(&mut self, now: Time, relays: usize) -> Vec<WatchStatement> {
        let timeout = timeout(relays);
        self.statements
            .retain(|_, statement| now.since(statement.made_at) < timeout);
        let mut latest: Vec<(SocketAddr, Statement)> =
            self.statements.iter().map(|(r, s)| (*r, *s)).collect();
        latest.sort_by_key(|(relay, statement)| (std::cmp::Reverse(statement.made_at), *relay));
        let latest = latest.into_iter().take(MAX_STATEMENTS);
        let statements = latest.map(|(relay, statement)| WatchStatement {
            relay,
            watches: statement.watches,
            age_ms: now.since(statement.made_at).as_millis() as u32,
        });
        statements.collect()
    }

    /// Whether another relay than `own` watches, in a region of so many relays.
    pub fn is_watched(&self, now: Time, own: SocketAddr, relays: usize) -> bool {
        self.live_watchers(now, own, relays).next().is_some()
    }

    /// Whether the relay at `own` may watch. If two watch, the one with the lower address continues.
    pub fn may_watch(&self, now: Time, own: SocketAddr, watching: bool, relays: usize) -> bool {
        let mut others = self.live_watchers(now, own, relays);
        match watching {
            true => others.all(|other| own < other),
            false => others.next().is_none(),
        }
    }

    fn live_watchers(
        &self,
        now: Time,
        own: SocketAddr,
        relays: usize,
    ) -> impl Iterator<Item = SocketAddr> {
        let timeout = timeout(relays);
        let live = self.statements.iter().filter(move |(relay, statement)| {
            let fresh = now.since(statement.made_at) < timeout;
            **relay != own && statement.watches && fresh
        });
        live.map(|(relay, _)| *relay)
    }
}

/// The age from which a watcher's last statement is too old, in a region of so many relays: longer where statements are
/// passed on, by the logarithm of the region's size.
pub fn timeout(relays: usize) -> Duration {
    let steps = (relays as f64 / DIRECTLY_TOLD as f64).log(SPREAD_FACTOR);
    DIRECT_TIMEOUT + SPREAD_TIME.mul_f64(steps.max(0.0).ceil() * 2.0)
}

/// Whether a relay that knows of no live watcher calls the directory now, after it has waited for `waited` since it last
/// asked this. `draw` is a random number from 0 to 1. A relay that is alone calls at once.
pub fn calls_now(waited: Duration, relays: usize, draw: f64) -> bool {
    if relays <= 1 {
        return true;
    }
    let mean_wait = CALL_SPACING.as_secs_f64() * relays as f64;
    draw < 1.0 - (-waited.as_secs_f64() / mean_wait).exp()
}
