//! How long a request would wait at a server, from own work in flight and late reports.
//!
//! Load pattern: hundreds of entries see the same report, some hundred milliseconds old, of one idle
//! server. Without damping all of them send there at once, it is full when the next report comes, and
//! all of them leave it: the load swings between servers with the period of the reports.
//!
//! Three things damp this. Own requests since the report count at once, and count several times, since
//! the other entries that saw the report are taken to act alike. A report's difference from the mean
//! of all servers fades with its age. And the router compares only a few sampled servers.
//!
//! A report may also be wrong: its sender's figures are stuck. A busy report that does not change ages
//! as if it had not come, and waits that were seen here count where they are longer than the report's.
//!
//! Delay: own work counts at once; a report from its arrival; a seen wait fades within seconds.

use std::time::Duration;

use crate::load::LoadSummary;
use crate::time::Time;

/// The part of a request's mean time at which a report's difference from the mean counts half: a
/// batch whose requests end within a second is another one after it, one of minute-long requests is
/// not. With 90 entries and requests of 1.5 s at 0.8 of capacity, p95 of the wait was 482 ms with a
/// fixed 2 s, 295 ms with 0.15; smaller parts gain little more there, and lose where requests are long.
pub(crate) const REPORT_PART: f64 = 0.15;

/// The bounds of the age at which a report counts half, in seconds: its own way takes the lower, and
/// beyond the upper a report may be one of another process.
pub(crate) const SHORTEST_HALF: f64 = 0.05;
pub(crate) const LONGEST_HALF: f64 = 5.0;

/// The most that an own request counts for, since the report, in place of those of other entries.
const MOST_ALIKE: f64 = 8.0;

/// The part of a token gap by which each request in a batch slows the others. The stand-in engines
/// and published batch curves lie between a twentieth and a fifth.
const CROWDING: f64 = 0.125;

/// Microseconds. The least gap that crowding is worked out with: before the first report, own work in
/// flight must count as well, or a burst falls on the servers by chance.
const LEAST_GAP: f64 = 5_000.0;

/// The weight of a newly seen wait.
const SEEN_WEIGHT: f64 = 0.3;

/// The age at which a seen wait counts half.
const SEEN_HALF: Duration = Duration::from_secs(1);

/// A report that the server does not answer is believed for this long: the agent's next heartbeat
/// would have told of a change.
const UNREACHABLE_AGE: Duration = Duration::from_secs(10);

/// The servers of a service on average. Times in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceMean {
    pub(crate) wait: f64,
    pub(crate) load: f64,
    pub(crate) gap: f64,
    // The time from hand-over to end.
    pub(crate) duration: f64,
}

impl ServiceMean {
    const WEIGHT: f64 = 0.05;

    /// Takes in one server's report.
    pub(crate) fn report(&mut self, load: &LoadSummary) {
        let requests = f64::from(load.running) + f64::from(load.queued);
        approach(&mut self.wait, load.expected_wait as f64, Self::WEIGHT);
        approach(&mut self.load, requests, Self::WEIGHT);
        approach(&mut self.gap, load.token_gap as f64, Self::WEIGHT);
    }

    /// Takes in the time that a request took.
    pub(crate) fn ended(&mut self, duration: Duration) {
        approach(&mut self.duration, micros(duration), Self::WEIGHT);
    }

    /// The age at which a report counts half.
    fn report_half(&self) -> Duration {
        let half = self.duration * REPORT_PART / 1e6;
        Duration::from_secs_f64(half.clamp(SHORTEST_HALF, LONGEST_HALF))
    }
}

/// Times in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    pub(crate) wait: f64,
    pub(crate) crowding: f64,
}

/// The work that one entry has at a server, and what it knows of the server's other work.
#[derive(Debug, Default)]
pub(crate) struct LoadTracker {
    in_flight: u32,
    // Of those in flight, the ones without a first token.
    pending: u32,
    // When something last moved, or `pending` last rose from zero.
    progress: Time,
    report: LoadSummary,
    // When the report last told something new. `None` before the first.
    reported: Option<Time>,
    // When any report last came.
    heard: Time,
    // Own requests in flight when the report came.
    base: u32,
    // Microseconds; the wait seen here, without the round trip.
    seen: f64,
    seen_at: Time,
    // Microseconds; the mean time of a request here.
    duration: f64,
}

impl LoadTracker {
    /// Takes in a report; whether it told anything new.
    pub(crate) fn report(&mut self, now: Time, load: LoadSummary) -> bool {
        self.heard = now;
        let busy = load.running + load.queued > 0;
        if busy && self.reported.is_some() && load == self.report {
            return false;
        }
        self.report = load;
        self.reported = Some(now);
        self.base = self.in_flight;
        true
    }

    pub(crate) fn started(&mut self, now: Time) {
        if self.pending == 0 {
            self.progress = now;
        }
        self.in_flight += 1;
        self.pending += 1;
    }

    pub(crate) fn first_token(&mut self, now: Time, waited: Duration) {
        self.pending = self.pending.saturating_sub(1);
        self.progress = now;
        let faded = self.seen * fade(now.since(self.seen_at), SEEN_HALF);
        self.seen = faded;
        approach(&mut self.seen, micros(waited), SEEN_WEIGHT);
        self.seen_at = now;
    }

    pub(crate) fn finished(&mut self, now: Time, duration: Duration, began: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !began {
            self.pending = self.pending.saturating_sub(1);
        }
        self.progress = now;
        approach(&mut self.duration, micros(duration), SEEN_WEIGHT);
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the server itself has said that it leaves.
    pub(crate) fn reports_draining(&self) -> bool {
        self.report.draining
    }

    /// Whether the agent has said, lately, that its backend server does not answer.
    pub(crate) fn says_unreachable(&self, now: Time) -> bool {
        let told = self.reported.is_some() && !self.report.reachable;
        told && now.since(self.heard) < UNREACHABLE_AGE
    }

    /// What a request of `tokens` would meet that started now.
    pub(crate) fn estimate(&self, now: Time, tokens: u32, mean: &ServiceMean) -> Estimate {
        let fresh = match self.reported {
            Some(at) => fade(now.since(at), mean.report_half()),
            None => 0.0,
        };
        let added = self.added();
        let reported = self.report.expected_wait as f64 + self.wait_for(added, tokens);
        let load = f64::from(self.report.running) + f64::from(self.report.queued) + added;
        let wait = mix(reported, mean.wait, fresh);
        let load = mix(load, mean.load + added, fresh).max(f64::from(self.in_flight));
        let gap = mix(self.report.token_gap as f64, mean.gap, fresh);
        Estimate {
            wait: wait.max(self.seen_wait(now)).max(self.silence(now)),
            crowding: load * gap.max(LEAST_GAP) * CROWDING,
        }
    }

    /// Requests since the report, with those that other entries are taken to have sent.
    fn added(&self) -> f64 {
        let own = f64::from(self.in_flight) - f64::from(self.base);
        if own <= 0.0 {
            return own;
        }
        let all = f64::from(self.report.running) + f64::from(self.report.queued);
        let alike = all / f64::from(self.base.max(1));
        own * alike.clamp(1.0, MOST_ALIKE)
    }

    /// The wait that `added` requests make beyond what fits into memory at once.
    fn wait_for(&self, added: f64, tokens: u32) -> f64 {
        let room = self.report.free_tokens as f64 / f64::from(tokens.max(1));
        let beyond = (added - room).max(0.0);
        let waiting = f64::from(self.report.queued);
        let each = if waiting > 0.0 {
            self.report.expected_wait as f64 / waiting
        } else {
            self.duration / f64::from(self.report.running.max(1))
        };
        beyond * each
    }

    fn seen_wait(&self, now: Time) -> f64 {
        self.seen * fade(now.since(self.seen_at), SEEN_HALF)
    }

    /// A server that gives no sign while requests wait there makes them wait at least this long.
    fn silence(&self, now: Time) -> f64 {
        match self.pending {
            0 => 0.0,
            _ => micros(now.since(self.progress)),
        }
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_micros() as f64
}

fn approach(mean: &mut f64, figure: f64, weight: f64) {
    *mean += (figure - *mean) * weight;
}

fn mix(own: f64, mean: f64, fresh: f64) -> f64 {
    (own * fresh + mean * (1.0 - fresh)).max(0.0)
}

/// 1 at age zero, a half at age `half`, and so on.
fn fade(age: Duration, half: Duration) -> f64 {
    (-age.as_secs_f64() / half.as_secs_f64()).exp2()
}
