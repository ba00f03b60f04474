//! A backend server as one entry sees it: what runs there, and what it costs to send a request there.
//!
//! An engine's memory is taken as the larger of what it reports and what this entry has placed there, grown
//! to the expected end of each. Costs are in milliseconds of the first event's time. The load patterns
//! that they are made for stand in `fleet`.

use std::time::Duration;

use crate::cold_start::ColdState;
use crate::ids::Name;
use crate::prefill_rate;
use crate::residency::ANY_REGION;
use crate::residency::AllowedRegions;
use crate::routing::ServerKey;
use crate::server_limit::LimitState;
use crate::service_time::ServiceTime;
use crate::site::EngineSpec;
use crate::site::ServerRecord;
use crate::time::Time;

/// The weight of a millisecond of reading before the first event. One that is soon over hurts nobody,
/// and counts as much as balance asks for.
const READ_WEIGHT: f64 = 0.6;

/// Milliseconds of reading from which each one more may make the first event late, and its weight. The
/// objectives are 1.5 s and more, and other requests come in between.
const READ_LONG: f64 = 900.0;
const READ_LATE: f64 = 3.0;

/// The cost of a full memory, in milliseconds: for balance between engines, and the steeper part from
/// the share at which an engine can no longer take in the runs of another one.
const FILL: f64 = 120.0;
const FILL_HIGH: f64 = 0.7;
const FILL_STEEP: f64 = 900.0;

/// How much a running request slows the ones beside it, in milliseconds of the first event's time.
const CROWDING: f64 = 3.0;

/// The part of an engine's memory that is planned with: what grows beyond its expectation needs the
/// rest.
const MEMORY_PART: f64 = 0.95;

/// The cost of a request that does not fit, in milliseconds for each time its size is lacking.
const LACK: f64 = 4_000.0;

/// The cost of an engine that fails all of its requests, in milliseconds. One that fails a fifth costs more
/// than the way to another region and a full memory together, and less than what does not fit elsewhere.
const FAILING: f64 = 2_500.0;

/// How long a request that was sent does not show in the reports that come back, beside the round trip: the time
/// between two reports, and for which a process waits for its turn.
pub(crate) const UNSEEN: Duration = Duration::from_millis(60);

/// The cost of a request whose region has no room for the runs of an engine that leaves, in
/// milliseconds, where it is one request's size short. Another region's engine costs 60 and a connection.
const NO_RETREAT: f64 = 300.0;

/// The part of the memory of a region's other engines that the runs of one that leaves may fill: they grow
/// on while they move, and each must fit into one engine whole.
const RETREAT_PART: f64 = 0.85;

/// The part of an engine's memory that a usual long request fills: eight and more run at once.
const USUAL_PART: f64 = 0.125;

/// A report older than this says nothing any more.
const REPORT_AGE: Duration = Duration::from_secs(3);

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a Name,
    /// Tokens of its prompt; zero for a plain call.
    pub prompt: u64,
    /// Tokens that it is expected to hold at its end; zero for a plain call.
    pub tokens: u64,
    /// The servers that it has been to.
    pub tried: &'a [ServerKey],
    /// Restricts the choice to this availability zone.
    pub zone: Option<&'a Name>,
    /// Restricts the choice to these servers.
    pub among: Option<&'a [ServerKey]>,
    /// Restricts the choice to these regions.
    pub regions: &'a AllowedRegions,
}

impl<'a> Need<'a> {
    /// What a request needs that has been nowhere and may go anywhere.
    pub fn new(service: &'a Name, prompt: u64, tokens: u64) -> Self {
        Need {
            service,
            prompt,
            tokens,
            tried: &[],
            zone: None,
            among: None,
            regions: &ANY_REGION,
        }
    }

    /// Whether the server is one of those asked for, wherever it stands.
    pub(crate) fn asks_for(&self, key: ServerKey, server: &Server) -> bool {
        let record = &server.record;
        let serves = server.usable() && record.service == *self.service;
        let here = self.zone.is_none_or(|zone| *zone == record.zone);
        let among = self.among.is_none_or(|among| among.contains(&key));
        serves && here && among && !self.tried.contains(&key)
    }
}

/// The load that a request would find at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// The part of the engine's memory that is full at the highest point, this one among it.
    pub memory: f64,
    /// How long the engine reads the prompts that it has.
    pub before: Duration,
    /// How long it reads this one's prompt.
    pub own: Duration,
    /// Requests that run or wait there.
    pub running: u32,
    /// Requests that can run there at once.
    pub slots: u32,
}

/// A backend server as this entry sees it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) record: ServerRecord,
    // Whether the list still has it.
    pub(crate) listed: bool,
    // Since when it is known by another word than the list's, while the list has not had it.
    pub(crate) found: Option<Time>,
    // When it was learnt that it leaves, by whichever way first.
    pub(crate) leaving: Option<Time>,
    // Requests of this entry that are there, and the tokens they are expected to hold.
    pub(crate) open: u32,
    pub(crate) tokens: u64,
    // Tokens of prompts of this entry whose first event has not come.
    pub(crate) unread: u64,
    pub(crate) report: Option<Report>,
    // Requests of all entries that the report cannot show yet, in the order of time.
    pub(crate) unseen: Vec<Unseen>,
    // Failures since the last success, and until when it rests.
    pub(crate) failures: u32,
    pub(crate) rest: Time,
    // Requests that a plain server said it has running and waiting, besides this entry's.
    pub(crate) others: f64,
    pub(crate) cold: ColdState,
    pub(crate) limit: LimitState,
    // Of a plain server that has answered.
    pub(crate) work: Option<ServiceTime>,
}

/// An engine's last report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) at: Time,
    // Tokens at the highest point of what runs, and of what is under way.
    pub(crate) planned: u64,
    // Tokens of prompts that are still to be read, and that are read in a millisecond.
    pub(crate) unread: u64,
    pub(crate) reads: f64,
    // Requests that run or wait.
    pub(crate) running: u32,
    // The part of its requests that it has failed lately, 0 to 1.
    pub(crate) failing: f64,
    // The time between two reports while there is news.
    pub(crate) every: Duration,
}

/// A request that was sent a moment ago.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unseen {
    pub(crate) at: Time,
    pub(crate) prompt: u64,
    pub(crate) tokens: u64,
}

/// The memory of the engines of one service in one region, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionRoom {
    pub(crate) capacity: u64,
    pub(crate) used: u64,
    // The memory of the largest engine.
    pub(crate) largest: u64,
}

impl RegionRoom {
    /// The cost of one more request of `tokens`, in milliseconds: it counts where the region's runs
    /// would no longer fit when one engine leaves. Runs can only be moved within their region in time.
    pub(crate) fn penalty(&self, tokens: u64) -> f64 {
        let room = self.capacity.saturating_sub(self.largest) as f64 * RETREAT_PART;
        let lack = (self.used + tokens) as f64 - room;
        NO_RETREAT * (lack / tokens.max(1) as f64).clamp(0.0, 2.0)
    }
}

impl Server {
    /// A server that the list does not have, and of which nothing is known.
    pub(crate) fn new(record: ServerRecord) -> Self {
        Server {
            record,
            listed: false,
            found: None,
            leaving: None,
            open: 0,
            tokens: 0,
            unread: 0,
            report: None,
            unseen: Vec::new(),
            failures: 0,
            rest: Time::ZERO,
            others: 0.0,
            cold: ColdState::default(),
            limit: LimitState::default(),
            work: None,
        }
    }

    /// Tokens of memory that are taken, or will be when what runs there has grown, as far as this entry
    /// knows.
    pub(crate) fn used(&self, now: Time) -> u64 {
        let unseen: u64 = self.unseen.iter().map(|sent| sent.tokens).sum();
        let reported = self
            .fresh_report(now)
            .map_or(0, |report| report.planned + unseen);
        reported.max(self.tokens)
    }

    /// The part of the memory that is full at the highest point, with `tokens` more. A large request counts
    /// as [`USUAL_PART`], so that it is turned away no more often than others while it fits.
    pub(crate) fn fill(&self, now: Time, tokens: u64, engine: &EngineSpec) -> f64 {
        let part = |tokens: u64| tokens as f64 / engine.capacity.max(1) as f64;
        let used = part(self.used(now));
        let whole = used + part(tokens);
        match whole > 1.0 {
            true => whole,
            false => used + part(tokens).min(USUAL_PART),
        }
    }

    /// Requests that run or wait there, as far as this entry knows.
    pub(crate) fn running(&self, now: Time) -> u32 {
        let reported = self
            .fresh_report(now)
            .map_or(0, |report| report.running + self.unseen.len() as u32);
        reported.max(self.open)
    }

    pub(crate) fn fresh_report(&self, now: Time) -> Option<Report> {
        self.report.filter(|r| now.since(r.at) < REPORT_AGE)
    }

    pub(crate) fn sent(&mut self, now: Time, prompt: u64, tokens: u64) {
        self.unseen.retain(|sent| now.since(sent.at) < REPORT_AGE);
        self.unseen.push(Unseen {
            at: now,
            prompt,
            tokens,
        });
    }

    pub(crate) fn usable(&self) -> bool {
        self.listed && self.leaving.is_none()
    }

    pub(crate) fn engine_cost(&self, now: Time, need: &Need<'_>, engine: &EngineSpec) -> f64 {
        let reading = self.unread(now) + need.prompt as f64;
        let used = (self.used(now) + need.tokens) as f64;
        let running = f64::from(self.running(now));
        let full = (running + 1.0 - f64::from(engine.slots)).max(0.0);
        let room = engine.capacity as f64 * MEMORY_PART;
        let lack = (used - room).max(0.0) / (need.tokens.max(1) as f64);
        let wait = read_cost(reading / self.reads(now));
        let failing = self.fresh_report(now).map_or(0.0, |report| report.failing);
        let crowd = running * CROWDING + fill_cost(used / room) + (lack + full) * LACK;
        wait + crowd + failing * FAILING
    }

    /// Tokens of prompts that the engine has still to read, as far as this entry knows.
    fn unread(&self, now: Time) -> f64 {
        let unseen: u64 = self.unseen.iter().map(|sent| sent.prompt).sum();
        let reported = self.fresh_report(now).map_or(0, |report| report.unread);
        (reported + unseen).max(self.unread) as f64
    }

    /// How long the engine takes to read the prompts that it has.
    pub(crate) fn reading(&self, now: Time) -> Duration {
        self.reading_time(now, self.unread(now))
    }

    /// How long the engine takes to read the tokens of prompts.
    pub(crate) fn reading_time(&self, now: Time, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.reads(now) / 1_000.0)
    }

    /// Tokens of prompts that the engine reads in a millisecond.
    fn reads(&self, now: Time) -> f64 {
        let report = self.fresh_report(now);
        report.map_or(prefill_rate::PRIOR, |report| report.reads)
    }

    /// The cost of a plain server's queue, in milliseconds, where a call takes so long.
    pub(crate) fn queue_cost(&self, work: Duration) -> f64 {
        let step = work.as_secs_f64() * 1_000.0;
        let busy = f64::from(self.open) + self.others;
        let slots = f64::from(self.record.slots.max(1));
        busy / slots * step / 2.0 + (busy + 1.0 - slots).max(0.0) * step
    }
}

/// The cost of a wait for prompts to be read, in milliseconds.
fn read_cost(wait: f64) -> f64 {
    wait * READ_WEIGHT + (wait - READ_LONG).max(0.0) * READ_LATE
}

/// The cost of a memory that is filled to a part, in milliseconds.
fn fill_cost(fill: f64) -> f64 {
    fill * FILL + (fill - FILL_HIGH).max(0.0) * FILL_STEEP
}
