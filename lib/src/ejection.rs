//! Which servers are left out for being far slower than their peers, or failing more often.
//!
//! Load pattern: one accelerator throttles or one host swaps, and every request sent there takes many
//! times as long, while the others are well. Without ejection, each such server keeps its part of the
//! callers slow for as long as it reports itself idle.
//!
//! The evidence is relative: a server is compared with the median of its peers over the same time. So
//! when all are slow none is ejected, since that is load and not a fault, and taking servers away
//! would make it worse. At most a share of the servers is out at a time.
//!
//! Delay: [`EVIDENCE`] requests and at most one [`SWEEP`]. Hysteresis: the stay outside doubles with
//! each ejection in a row, the old evidence is forgotten, and the return is a slow start.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::routing::ServerKey;
use crate::time::Time;

/// A server is out when its requests take this many times the peers' median. Contention and mixes of
/// lengths reach 2 in the trials; a throttled accelerator reaches 4 and more.
pub const SLOW_FACTOR: f64 = 3.0;

/// A server is out when it fails this share of its requests, and the peers' median is under a third
/// of it.
pub const FAILED_SHARE: f64 = 0.5;

/// The largest share of a service's servers that is out at a time. One of three and more may always
/// be out.
pub const EJECTED_SHARE: f64 = 0.2;

/// Requests that must have ended, or reports come, before a server is judged: with fewer, a few long
/// outputs in a row look like slowness.
pub const EVIDENCE: u32 = 16;

/// How often servers are compared.
pub const SWEEP: Duration = Duration::from_secs(1);

/// The first stay outside. It doubles up to [`LONGEST_STAY`].
pub const FIRST_STAY: Duration = Duration::from_secs(10);

/// The longest stay outside.
pub const LONGEST_STAY: Duration = Duration::from_secs(160);

/// The time in which a server that returns, or is new, comes to its full part.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// The part with which a slow start begins.
const FIRST_PART: f64 = 0.1;

/// The weight of a new figure: the mean reaches back over about ten requests.
const NEW_WEIGHT: f64 = 0.1;

/// Evidence older than this is not used.
const EVIDENCE_AGE: Duration = Duration::from_secs(60);

/// The fewest servers that can be compared: of two, no one can tell which is the odd one.
const FEWEST: usize = 3;

/// When slow or failing servers are left out.
#[derive(Clone, Debug)]
pub struct EjectionSettings {
    factor: f64,
    share: f64,
    slow_start: Duration,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        EjectionSettings::new()
    }
}

impl EjectionSettings {
    /// The defaults.
    pub fn new() -> Self {
        EjectionSettings {
            factor: SLOW_FACTOR,
            share: EJECTED_SHARE,
            slow_start: SLOW_START,
        }
    }

    /// Times the peers' median that counts as slow, 1.5 to 100.
    pub fn with_factor(mut self, factor: f64) -> Self {
        self.factor = factor.clamp(1.5, 100.0);
        self
    }

    /// The largest share that is out at a time, 0 (none, ever) to 0.5.
    pub fn with_share(mut self, share: f64) -> Self {
        self.share = share.clamp(0.0, 0.5);
        self
    }

    /// The time in which a returning server comes to its full part, at most 10 minutes.
    pub fn with_slow_start(mut self, time: Duration) -> Self {
        self.slow_start = time.min(Duration::from_secs(600));
        self
    }
}

/// A mean of logarithms: one long output weighs little.
#[derive(Clone, Copy, Debug, Default)]
struct Tempo {
    mean: f64,
    samples: u32,
}

#[derive(Clone, Debug, Default)]
struct Record {
    // The time for each token or call, as seen by this entry.
    pace: Tempo,
    // The time between tokens, as the agent reports it.
    gap: Tempo,
    // The mean of failures, 0 to 1.
    failed: f64,
    samples: u32,
    updated: Time,
    // Ejections in a row.
    strikes: u32,
    ejected: Option<Stay>,
    // The beginning of the slow start, if one is under way.
    returned: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Stay {
    from: Time,
    until: Time,
}

/// The ejections among the servers of one service, as seen by one entry.
#[derive(Debug)]
pub struct Ejector {
    settings: EjectionSettings,
    records: SecondaryMap<ServerKey, Record>,
    swept: Time,
    out: usize,
}

impl Ejector {
    /// No server known.
    pub fn new(settings: EjectionSettings) -> Self {
        Ejector {
            settings,
            records: SecondaryMap::new(),
            swept: Time::ZERO,
            out: 0,
        }
    }

    /// A server joined. One that joins a service that already runs starts slowly.
    pub fn joined(&mut self, now: Time, server: ServerKey, slowly: bool) {
        let record = Record {
            returned: slowly.then_some(now),
            ..Record::default()
        };
        self.records.insert(server, record);
    }

    /// A server left.
    pub fn left(&mut self, server: ServerKey) {
        let record = self.records.remove(server);
        if record.is_some_and(|r| r.ejected.is_some()) {
            self.out -= 1;
        }
    }

    /// A request ended well. `pace` is its time for each token, or for the whole call.
    pub fn ended(&mut self, now: Time, server: ServerKey, pace: Duration) {
        let Some(record) = self.record(now, server, 0.0) else {
            return;
        };
        record.pace.add(pace);
    }

    /// The server's agent reported the time between tokens of a busy server. This comes also from
    /// servers that this entry gives little to, which is soon the case of a slow one.
    pub fn reported(&mut self, now: Time, server: ServerKey, gap: Duration) {
        let record = self.records.get_mut(server);
        if let Some(record) = record.filter(|r| r.ejected.is_none()) {
            record.gap.add(gap);
            record.updated = now;
        }
    }

    /// A request failed there.
    pub fn failed(&mut self, now: Time, server: ServerKey) {
        self.record(now, server, 1.0);
    }

    /// Counts a request that ended. What ends while the server is out began before.
    fn record(&mut self, now: Time, server: ServerKey, failed: f64) -> Option<&mut Record> {
        let record = self.records.get_mut(server)?;
        if record.ejected.is_some() {
            return None;
        }
        let weight = NEW_WEIGHT.max(1.0 / f64::from(record.samples + 1));
        record.failed += (failed - record.failed) * weight;
        record.samples = record.samples.saturating_add(1);
        record.updated = now;
        Some(record)
    }

    /// Compares the servers if it is time to. `ready` says which may be given work at all. Takes
    /// O(n log n) once for each [`SWEEP`].
    pub fn sweep(&mut self, now: Time, ready: &[ServerKey]) {
        if now.since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        self.readmit(now);
        self.bound(now, ready.len());
        self.eject(now, ready);
    }

    /// Brings servers back until no more are out than `ready` servers allow.
    pub fn bound(&mut self, now: Time, ready: usize) {
        while self.out > self.most(ready) {
            let stays = self.records.iter();
            let oldest = stays
                .filter_map(|(key, record)| Some((record.ejected?.from, key)))
                .min();
            let Some((_, key)) = oldest else {
                return;
            };
            self.release(now, key);
        }
    }

    /// Whether the server is out.
    pub fn is_ejected(&self, server: ServerKey) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|r| r.ejected.is_some())
    }

    /// The part of its full load that the server should get, above 0 and up to 1.
    pub fn part(&self, now: Time, server: ServerKey) -> f64 {
        let Some(from) = self.records.get(server).and_then(|r| r.returned) else {
            return 1.0;
        };
        let whole = self.settings.slow_start.as_secs_f64();
        if whole == 0.0 {
            return 1.0;
        }
        let passed = now.since(from).as_secs_f64() / whole;
        passed.clamp(FIRST_PART, 1.0)
    }

    /// Servers that are out.
    pub fn ejected(&self) -> usize {
        self.out
    }

    /// The most servers that may be out of `ready`.
    pub fn most(&self, ready: usize) -> usize {
        if ready < FEWEST || self.settings.share == 0.0 {
            return 0;
        }
        let share = (ready as f64 * self.settings.share).floor() as usize;
        share.max(1)
    }

    fn readmit(&mut self, now: Time) {
        let stays = self.records.iter();
        let over: Vec<ServerKey> = stays
            .filter(|(_, r)| r.ejected.is_some_and(|s| s.until <= now))
            .map(|(key, _)| key)
            .collect();
        for key in over {
            self.release(now, key);
        }
    }

    fn release(&mut self, now: Time, server: ServerKey) {
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        if record.ejected.take().is_some() {
            self.out -= 1;
        }
        record.returned = Some(now);
        record.samples = 0;
        record.failed = 0.0;
        record.pace = Tempo::default();
        record.gap = Tempo::default();
    }

    fn eject(&mut self, now: Time, ready: &[ServerKey]) {
        let known: Vec<ServerKey> = ready
            .iter()
            .copied()
            .filter(|key| self.is_known(now, *key))
            .collect();
        if known.len() < FEWEST {
            return;
        }
        let usual = Usual {
            pace: self.median(&known, |r| r.pace.known()),
            gap: self.median(&known, |r| r.gap.known()),
            failed: self.median(&known, |r| Some(r.failed)),
        };
        let mut odd: Vec<(f64, ServerKey)> = known
            .iter()
            .map(|key| (self.excess(*key, &usual), *key))
            .filter(|(excess, _)| *excess > 0.0)
            .collect();
        odd.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.forgive(now, &known);
        let room = self.most(ready.len()).saturating_sub(self.out);
        for (_, key) in odd.into_iter().take(room) {
            self.put_out(now, key);
        }
    }

    /// Forgets the earlier ejections of servers that have been back for the longest stay.
    fn forgive(&mut self, now: Time, known: &[ServerKey]) {
        for key in known {
            let record = &mut self.records[*key];
            if record
                .returned
                .is_some_and(|from| now.since(from) > LONGEST_STAY)
            {
                record.strikes = 0;
            }
        }
    }

    /// The median of a figure over the servers that have it.
    fn median(
        &self,
        servers: &[ServerKey],
        figure: impl Fn(&Record) -> Option<f64>,
    ) -> Option<f64> {
        let figures = servers.iter().filter_map(|key| figure(&self.records[*key]));
        let mut figures: Vec<f64> = figures.collect();
        if figures.len() < FEWEST {
            return None;
        }
        figures.sort_by(f64::total_cmp);
        figures.get((figures.len() - 1) / 2).copied()
    }

    /// How far the server is beyond the bound; zero or less within it.
    fn excess(&self, server: ServerKey, usual: &Usual) -> f64 {
        let record = &self.records[server];
        let others = usual.failed.unwrap_or(0.0);
        if record.samples >= EVIDENCE
            && record.failed >= FAILED_SHARE
            && others * 3.0 < record.failed
        {
            return f64::MAX;
        }
        let pace = beyond(record.pace.known(), usual.pace);
        let gap = beyond(record.gap.known(), usual.gap);
        pace.max(gap) - self.settings.factor.ln()
    }

    fn put_out(&mut self, now: Time, server: ServerKey) {
        let record = &mut self.records[server];
        let stay = FIRST_STAY * 2u32.saturating_pow(record.strikes.min(10));
        record.ejected = Some(Stay {
            from: now,
            until: now + stay.min(LONGEST_STAY),
        });
        record.strikes = record.strikes.saturating_add(1);
        self.out += 1;
    }

    fn is_known(&self, now: Time, server: ServerKey) -> bool {
        self.records.get(server).is_some_and(|r| {
            let samples = r.samples.max(r.gap.samples);
            r.ejected.is_none() && samples >= EVIDENCE && now.since(r.updated) < EVIDENCE_AGE
        })
    }
}

/// What is usual among the servers.
struct Usual {
    pace: Option<f64>,
    gap: Option<f64>,
    failed: Option<f64>,
}

impl Tempo {
    fn add(&mut self, time: Duration) {
        let log = (time.as_micros().max(1) as f64).ln();
        let weight = NEW_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.mean += (log - self.mean) * weight;
        self.samples = self.samples.saturating_add(1);
    }

    /// The mean, once there is enough evidence for it.
    fn known(&self) -> Option<f64> {
        (self.samples >= EVIDENCE).then_some(self.mean)
    }
}

/// The logarithm of how many times the usual figure the own one is.
fn beyond(own: Option<f64>, usual: Option<f64>) -> f64 {
    match (own, usual) {
        (Some(own), Some(usual)) => own - usual,
        _ => 0.0,
    }
}
