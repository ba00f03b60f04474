//! One entry's view of a backend server: the load there, and the cost of sending a request to it.
//!
//! An engine's memory use is estimated as the larger of what it reports and what this entry has sent
//! there, each request counted at its expected final size. Costs are in milliseconds of time to first
//! event. The module `fleet` describes the load patterns that they are designed for.

use std::time::Duration;

use crate::busy_limit::BusyLimit;
use crate::cold_start::ColdState;
use crate::fleet::SCOUT_TIMEOUT;
use crate::ids::Name;
use crate::migration::event_gaps::EventGaps;
use crate::migration::run_risk::PrefillRole;
use crate::prefill_rate;
use crate::rendezvous;
use crate::residency::ANY_REGION;
use crate::residency::AllowedRegions;
use crate::routing::ServerKey;
use crate::server_incarnations::StandingStatements;
use crate::server_leaving::Leaving;
use crate::server_leaving::LeavingSource;
use crate::server_limit::LimitState;
use crate::server_load::HostSpeed;
use crate::server_rest::RestState;
use crate::service_time::ServiceTime;
use crate::site::EngineSpec;
use crate::site::ServerPhase;
use crate::site::ServerRecord;
use crate::time::Time;

/// The weight of a millisecond of prefill before the first event. A short wait violates no objective,
/// and weighs only as much as is needed to balance load.
const PREFILL_WEIGHT: f64 = 0.6;

/// Milliseconds of prefill beyond which each additional one may make the first event late, and its
/// weight. The objectives are 1.5 s and more, and other requests are served in between.
const LONG_PREFILL: f64 = 900.0;
const LONG_PREFILL_WEIGHT: f64 = 3.0;

/// The cost of full memory, in milliseconds, which balances engines; and the fill level from which an
/// engine can no longer take over the runs of another one, with the additional cost from there on.
const MEMORY_COST: f64 = 120.0;
const HIGH_FILL: f64 = 0.7;
const HIGH_FILL_COST: f64 = 900.0;

/// How much each running request slows down the others, in milliseconds of time to first event.
const RUNNING_COST: f64 = 3.0;

/// The fraction of an engine's memory that is allocated to expected sizes. The rest is for requests that
/// grow beyond them.
const USABLE_MEMORY: f64 = 0.95;

/// The cost of a request that does not fit, in milliseconds for each multiple of its size that is
/// missing.
const SHORTAGE_COST: f64 = 4_000.0;

/// The cost of an engine that fails all of its requests, in milliseconds. An engine that fails a fifth of
/// them costs more than a round trip to another region and full memory together, and less than a request
/// that does not fit elsewhere.
const FAILURE_COST: f64 = 2_500.0;

/// The cost, in milliseconds, of sending a prompt to an engine that mainly decodes, where the zone has a prefill group:
/// as much as 0.83 s of prefill ahead of it at a member, which the tightest objectives of 1.5 s allow. It is less than
/// the cost of missing memory.
const DECODER_COST: f64 = 500.0;

/// How long a request that was sent is missing from incoming reports, beyond the round trip: the interval
/// between two reports, and the scheduling delay of a process.
pub(crate) const REPORT_LAG: Duration = Duration::from_millis(60);

/// The cost, in milliseconds, of a request whose region is one request's size short of the memory to take
/// over the runs of a departing engine. An engine of another region costs 60 and a connection.
const NO_HEADROOM_COST: f64 = 300.0;

/// The fraction of the memory of a region's other engines that the runs of a departing engine may fill:
/// runs keep growing while they are moved, and each must fit into a single engine.
const HEADROOM_FRACTION: f64 = 0.85;

/// The fraction of an engine's memory that a typical long request fills: eight or more run at once.
const TYPICAL_FRACTION: f64 = 0.125;

/// Reports older than this are ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// The resources that a request needs, and the servers that it may be sent to.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a Name,
    /// The tokens of its prompt; zero for a plain call.
    pub prompt: u64,
    /// The tokens of memory that it is expected to hold at its end; zero for a plain call.
    pub tokens: u64,
    /// The servers that it was already sent to.
    pub tried: &'a [ServerKey],
    /// Restricts the choice to this availability zone.
    pub zone: Option<&'a Name>,
    /// Restricts the choice to these servers.
    pub among: Option<&'a [ServerKey]>,
    /// Restricts the choice to these regions.
    pub regions: &'a AllowedRegions,
    /// The number of more urgent kinds of request of the service.
    pub rank: u32,
}

impl<'a> PlacementRequest<'a> {
    /// A request that was sent to no server yet and may go to any.
    pub fn new(service: &'a Name, prompt: u64, tokens: u64) -> Self {
        PlacementRequest {
            service,
            prompt,
            tokens,
            tried: &[],
            zone: None,
            among: None,
            regions: &ANY_REGION,
            rank: 0,
        }
    }

    /// Whether the server takes work and matches the request, apart from its region.
    pub(crate) fn matches(&self, key: ServerKey, server: &Server) -> bool {
        let record = &server.record;
        let serves = server.takes_work() && record.service == *self.service;
        let in_zone = self.zone.is_none_or(|zone| *zone == record.zone);
        let among = self.among.is_none_or(|among| among.contains(&key));
        serves && in_zone && among && !self.tried.contains(&key)
    }
}

/// The load that a request would meet at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedLoad {
    /// The peak fill level of the engine's memory, as a fraction, including this request.
    pub memory: f64,
    /// How long prefill of the prompts already there takes.
    pub prefill_backlog: Duration,
    /// How long prefill of this request's prompt takes.
    pub own_prefill_time: Duration,
    /// The number of requests that run or wait there.
    pub running: u32,
    /// The number of requests that can run there concurrently.
    pub slots: u32,
}

/// One entry's view of a backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) record: ServerRecord,
    // Whether the list has it or, until then, its scout has announced it.
    pub(crate) listed: bool,
    // Whether it or its scout has named this incarnation to this process.
    pub(crate) confirmed: bool,
    // When another source than the list named it; `None` once the list has it.
    pub(crate) observed_since: Option<Time>,
    // When the incarnation started, as its scout reports it; the list goes before.
    pub(crate) reported_start: Option<u64>,
    // `None` until any source tells that it is leaving. Never reset.
    pub(crate) leaving: Option<Leaving>,
    // This entry's open requests there, and the tokens that they are expected to hold.
    pub(crate) open_requests: u32,
    pub(crate) expected_tokens: u64,
    // Prompt tokens of this entry's requests whose first event is outstanding.
    pub(crate) prefill_tokens: u64,
    pub(crate) report: Option<Report>,
    // Requests of all entries that the report cannot include yet, in order of time.
    pub(crate) unreported: Vec<UnreportedRequest>,
    // Failures since the last success, and the end of the resulting backoff.
    pub(crate) consecutive_failures: u32,
    pub(crate) backoff_until: Time,
    // When it last served one of this entry's requests.
    pub(crate) answered_at: Option<Time>,
    // Running and waiting requests that a plain server reported, without this entry's.
    pub(crate) other_requests: f64,
    // The slots that it states, which go before those of its record.
    pub(crate) stated_slots: Option<u32>,
    pub(crate) host_speed: HostSpeed,
    pub(crate) cold: ColdState,
    pub(crate) limit: LimitState,
    pub(crate) rest: RestState,
    pub(crate) busy_limit: BusyLimit,
    // `None` until a plain server has answered.
    pub(crate) work_time: Option<ServiceTime>,
    // Ranks the engine in the prefill group of its zone.
    pub(crate) address_hash: u64,
    pub(crate) prefill_role: PrefillRole,
}

/// The latest report of an engine's load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) received_at: Time,
    // Expected peak tokens of the running requests and of those on the way.
    pub(crate) peak_tokens: u64,
    // Prompt tokens whose prefill is outstanding, and tokens of prefill per millisecond.
    pub(crate) prefill_tokens: u64,
    pub(crate) prefill_rate: f64,
    // Requests that run or wait.
    pub(crate) requests: u32,
    // The fraction of its requests that failed recently, 0 to 1.
    pub(crate) failure_rate: f64,
    // The interval between reports while the load changes.
    pub(crate) interval: Duration,
    pub(crate) gaps: EventGaps,
    // The fraction of the last seconds in which it had a prompt to prefill, 0 to 1.
    pub(crate) prefill_use: f64,
}

/// A request that was sent too recently to be included in a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreportedRequest {
    pub(crate) sent_at: Time,
    pub(crate) prompt: u64,
    pub(crate) tokens: u64,
}

/// The memory of the engines of one service in one region, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionMemory {
    pub(crate) capacity: u64,
    pub(crate) used: u64,
    // The capacity of the largest engine.
    pub(crate) largest: u64,
}

impl RegionMemory {
    /// The cost of one more request of `tokens`, in milliseconds: positive if the region's runs would no
    /// longer fit once one engine leaves. Runs can be moved in time only within their region.
    pub(crate) fn headroom_cost(&self, tokens: u64) -> f64 {
        let usable = self.capacity.saturating_sub(self.largest) as f64 * HEADROOM_FRACTION;
        let shortage = (self.used + tokens) as f64 - usable;
        NO_HEADROOM_COST * (shortage / tokens.max(1) as f64).clamp(0.0, 2.0)
    }
}

impl Server {
    /// Whether a report of an engine that started at `born` concerns this incarnation. Before the list has it, the first
    /// reports tell when it started; after a silence they may be those of the next server at the address.
    pub(crate) fn is_report_of(&self, now: Time, born: Option<u64>) -> bool {
        let Some(born) = born else {
            return true;
        };
        if self.record.born != 0 || self.reported_start == Some(born) {
            return self.record.born == born || self.record.born == 0;
        }
        let reported = self.report.map(|report| report.received_at);
        let last_heard = reported.max(self.observed_since);
        last_heard.is_none_or(|at| now.since(at) < SCOUT_TIMEOUT)
    }

    /// Creates a server that is not listed and whose load is unknown.
    pub(crate) fn new(record: ServerRecord) -> Self {
        Server {
            address_hash: rendezvous::hash_address(record.address),
            prefill_role: PrefillRole::default(),
            record,
            listed: false,
            confirmed: false,
            reported_start: None,
            observed_since: None,
            leaving: None,
            open_requests: 0,
            expected_tokens: 0,
            prefill_tokens: 0,
            report: None,
            unreported: Vec::new(),
            consecutive_failures: 0,
            backoff_until: Time::ZERO,
            answered_at: None,
            other_requests: 0.0,
            stated_slots: None,
            host_speed: HostSpeed::default(),
            cold: ColdState::default(),
            limit: LimitState::default(),
            rest: RestState::default(),
            busy_limit: BusyLimit::default(),
            work_time: None,
        }
    }

    /// The estimated peak of memory use, in tokens, once the requests there have grown to their expected
    /// size.
    pub(crate) fn used_tokens(&self, now: Time) -> u64 {
        let unreported: u64 = self.unreported.iter().map(|sent| sent.tokens).sum();
        let reported = self
            .fresh_report(now)
            .map_or(0, |report| report.peak_tokens + unreported);
        reported.max(self.expected_tokens)
    }

    /// The peak fill level of the memory with `tokens` more, as a fraction. While it fits, a larger
    /// request counts as [`TYPICAL_FRACTION`], so that it is refused no more often than others.
    pub(crate) fn memory_fill(&self, now: Time, tokens: u64, engine: &EngineSpec) -> f64 {
        let fraction = |tokens: u64| tokens as f64 / engine.capacity.max(1) as f64;
        let used = fraction(self.used_tokens(now));
        let total = used + fraction(tokens);
        match total > 1.0 {
            true => total,
            false => used + fraction(tokens).min(TYPICAL_FRACTION),
        }
    }

    /// The estimated number of requests that run or wait there.
    pub(crate) fn requests(&self, now: Time) -> u32 {
        let reported = self
            .fresh_report(now)
            .map_or(0, |report| report.requests + self.unreported.len() as u32);
        reported.max(self.open_requests)
    }

    pub(crate) fn fresh_report(&self, now: Time) -> Option<Report> {
        self.report
            .filter(|r| now.since(r.received_at) < MAX_REPORT_AGE)
    }

    pub(crate) fn record_unreported(&mut self, now: Time, prompt: u64, tokens: u64) {
        self.unreported
            .retain(|sent| now.since(sent.sent_at) < MAX_REPORT_AGE);
        self.unreported.push(UnreportedRequest {
            sent_at: now,
            prompt,
            tokens,
        });
    }

    /// Records that it is leaving; returns whether that is new. Its record is passed on to other entries.
    pub(crate) fn set_leaving(&mut self, now: Time, source: LeavingSource) -> bool {
        self.record.phase = ServerPhase::Draining;
        let is_new = self.leaving.is_none();
        self.leaving.get_or_insert(Leaving { since: now, source });
        is_new
    }

    /// What it stated about itself, as far as it still holds.
    pub(crate) fn statements(&self) -> StandingStatements {
        StandingStatements {
            leaving: self.leaving,
            limit: self.limit.clone(),
            rest: self.rest,
        }
    }

    /// Takes over what the same incarnation stated before its entry lapsed.
    pub(crate) fn restore(&mut self, statements: StandingStatements) {
        self.limit = statements.limit;
        self.rest = statements.rest;
        if let Some(leaving) = statements.leaving {
            self.set_leaving(leaving.since, leaving.source);
        }
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.listed && self.leaving.is_none()
    }

    pub(crate) fn engine_cost(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
        engine: &EngineSpec,
    ) -> f64 {
        let prefill = self.pending_prefill(now) + request.prompt as f64;
        let used = (self.used_tokens(now) + request.tokens) as f64;
        let requests = f64::from(self.requests(now));
        let waiting = (requests + 1.0 - f64::from(engine.slots)).max(0.0);
        let usable = engine.capacity as f64 * USABLE_MEMORY;
        let shortage = (used - usable).max(0.0) / (request.tokens.max(1) as f64);
        let wait = prefill_cost(prefill / self.prefill_rate(now));
        let failure_rate = self
            .fresh_report(now)
            .map_or(0.0, |report| report.failure_rate);
        let decoder = match self.prefill_role {
            PrefillRole::Decoder if request.prompt > 0 => DECODER_COST,
            _ => 0.0,
        };
        let load = requests * RUNNING_COST
            + memory_cost(used / usable)
            + (shortage + waiting) * SHORTAGE_COST;
        wait + load + decoder + failure_rate * FAILURE_COST
    }

    /// The estimated prompt tokens there whose prefill is outstanding.
    pub(crate) fn pending_prefill(&self, now: Time) -> f64 {
        let unreported: u64 = self.unreported.iter().map(|sent| sent.prompt).sum();
        let reported = self
            .fresh_report(now)
            .map_or(0, |report| report.prefill_tokens);
        (reported + unreported).max(self.prefill_tokens) as f64
    }

    /// How long prefill of the prompts already there takes.
    pub(crate) fn prefill_backlog(&self, now: Time) -> Duration {
        self.prefill_time(now, self.pending_prefill(now))
    }

    /// How long prefill of this many tokens takes.
    pub(crate) fn prefill_time(&self, now: Time, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.prefill_rate(now) / 1_000.0)
    }

    /// Tokens of prefill per millisecond.
    pub(crate) fn prefill_rate(&self, now: Time) -> f64 {
        let report = self.fresh_report(now);
        report.map_or(prefill_rate::PRIOR, |report| report.prefill_rate)
    }

    /// The requests that a plain server runs concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.stated_slots.unwrap_or(self.record.slots).max(1)
    }

    /// The cost of a plain server's queue and of the load on its host, in milliseconds, given the time that one call
    /// usually takes.
    pub(crate) fn queue_cost(&self, now: Time, work_time: Duration) -> f64 {
        let usual_ms = work_time.as_secs_f64() * 1_000.0;
        let call_ms = usual_ms * self.host_speed.slowdown(now);
        let busy = f64::from(self.open_requests) + self.other_requests;
        let slots = f64::from(self.slots());
        let queue = busy / slots * call_ms / 2.0 + (busy + 1.0 - slots).max(0.0) * call_ms;
        queue + (call_ms - usual_ms)
    }
}

/// The cost of waiting for prefill, in milliseconds.
fn prefill_cost(wait: f64) -> f64 {
    wait * PREFILL_WEIGHT + (wait - LONG_PREFILL).max(0.0) * LONG_PREFILL_WEIGHT
}

/// The cost of memory at a fill level, in milliseconds.
fn memory_cost(fill: f64) -> f64 {
    fill * MEMORY_COST + (fill - HIGH_FILL).max(0.0) * HIGH_FILL_COST
}
