//! Admission control for streams, and the `Retry-After` of those that are rejected.
//!
//! Load pattern: for some seconds, 1.5 to 6 times as many requests arrive as the engines can serve. An
//! engine's memory fills with long runs, it preempts some of them midway, and all prompts wait behind the
//! prefills that this repeats. Without a bound every request waits, and the higher the load the fewer are
//! served: at 6 times the usual load a sixth of what the same engines serve at 1.5 times.
//!
//! So a stream is admitted only if its engine is expected to hold it to its end and to begin it in time;
//! otherwise it is rejected at once. The check looks at the engine that would serve it best, using the plan
//! that the engine's scout maintains and the requests sent there since.
//!
//! - **Memory.** The expected peak must fit. Less urgent kinds of request leave a share free for the more
//!   urgent kinds of the service, so that an urgent request never waits for a long run to end.
//! - **Prefill.** The prompts queued ahead must be prefilled within a share of the objective. The request's
//!   own prompt is not counted: it takes equally long on every engine, and counting it would make idle
//!   engines reject long prompts.
//!
//! A workspace that has used more than its share leaves room for the others, see [`crate::workspace_usage`].
//!
//! A rejected caller that retries in time takes precedence over others of its kind: its objective counts
//! from its first attempt. One that can no longer be in time only gets what the others leave.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::RetrySchedule;
use crate::copy_type;
use crate::fleet::ExpectedLoad;
use crate::fleet::Fleet;
use crate::fleet::NoServer;
use crate::fleet::PlacementRequest;
use crate::ids::Name;
use crate::routing::ServerKey;
use crate::site::ServiceSpec;
use crate::time::Time;

/// The share of an engine's memory that the most urgent kind of request may fill. Half of the runs grow
/// longer than expected, and a preempted run costs its caller a pause and the engine another prefill.
const MEMORY_SHARE: f64 = 0.95;

/// The share of memory that each kind leaves free for every kind that is more urgent: a prompt of 2,500
/// tokens in engines of 27,000 and 34,000. An urgent request holds little more than its prompt, and not for
/// long.
const KIND_RESERVE: f64 = 0.08;

/// The smallest share of memory to which any kind is limited.
const MIN_MEMORY_SHARE: f64 = 0.5;

/// The share of memory and of the objective that a caller retrying in time may use beyond others of its
/// kind, and the share that one retrying late leaves free for them.
const RETRY_BONUS: f64 = 0.05;
const LATE_RESERVE: f64 = 0.25;

/// The share of memory and of the objective that a workspace over its share leaves free: one long request
/// per engine, which is enough for the few that the other workspaces send.
const OVER_SHARE_RESERVE: f64 = 0.12;

/// The share of memory and of the objective that a less urgent request leaves free for the urgent kinds while it waits.
/// It takes capacity the moment that a run ends: without this share, 8 % fewer urgent requests were in time at 3 times
/// the load of `lib/tests/burst`, and with 0.08 fewer less urgent ones were than without waiting.
const WAIT_RESERVE: f64 = 0.04;

/// The share of the objective that the prompts queued ahead may take to prefill, for the most urgent kind
/// and for the others. Urgent prompts are prefilled first and hardly wait, but all runs are slower during a
/// prefill, so that few of them may be in progress. The other kinds have urgent prompts cut in ahead of
/// them. A larger share for urgent ones would make long runs hold their memory for up to twice as long.
const PREFILL_SHARE_URGENT: f64 = 0.3;
const PREFILL_SHARE_OTHER: f64 = 0.5;

/// Engines checked per request: one that does not fit on the best of them fits on none.
const MAX_CHECKED: usize = 5;

/// The share of the objective after which a retry is too late to be in time.
const RETRY_IN_TIME_SHARE: f64 = 0.55;

/// The shortest retry delay: an engine ends a run within some hundred milliseconds.
const MIN_DELAY: Duration = Duration::from_millis(200);

/// Callers heed a `Retry-After` of at most this fraction (one third) of their remaining time.
const HEEDED_DIVISOR: u32 = 3;

/// Upper bound in seconds on an interval between admissions: longer ones say nothing more about their rate.
const MAX_INTERVAL: f64 = 4.0;

/// The weight of the newest interval between admissions in the moving average.
const INTERVAL_WEIGHT: f64 = 0.1;

copy_type! {
    /// The resource for lack of which a stream is rejected.
    pub enum Bottleneck {
        /// The expected peak does not fit into the engine's memory.
        Memory,
        /// The prompts queued ahead would take too long to prefill.
        Prefill,
        /// All slots of the engine are in use.
        Slots,
        /// Other streams wait for capacity already.
        Queue,
    }
}

impl Bottleneck {
    /// The name used in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Bottleneck::Memory => "memory",
            Bottleneck::Prefill => "reading",
            Bottleneck::Slots => "slots",
            Bottleneck::Queue => "queue",
        }
    }
}

/// What the admission check knows about a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The number of kinds of request of the service that are more urgent.
    pub rank: u32,
    /// For a retry of a rejected request, the time since the first attempt; otherwise zero.
    pub age: Duration,
    /// Whether its workspace has recently used more than its share.
    pub over_share: bool,
    /// The latency objective for the first event.
    pub objective: Duration,
    /// Whether it waits for capacity at its entry.
    pub waiting: bool,
}

/// Details of a rejected stream, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The resource that it lacked.
    pub bottleneck: Bottleneck,
    /// The engine that would have served it best.
    pub server: ServerKey,
    /// The load that it would have met there.
    pub expected_load: ExpectedLoad,
}

/// Why no engine was selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionError {
    /// No server is eligible.
    NoServer(NoServer),
    /// All eligible engines are overloaded. Holds the details for the best of them.
    Rejected(Rejection),
}

/// Selects the best engine that passes [`check`], among the first `MAX_CHECKED`.
pub fn select_engine(
    fleet: &Fleet,
    now: Time,
    need: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    request: &AdmissionRequest,
) -> Result<ServerKey, AdmissionError> {
    let mut excluded = need.tried.to_vec();
    let mut rejected = None;
    for _ in 0..MAX_CHECKED {
        let need = PlacementRequest {
            tried: &excluded,
            ..need.clone()
        };
        let server = match fleet.choose(now, &need, spec) {
            Ok(server) => server,
            Err(why) => return Err(rejected.unwrap_or(AdmissionError::NoServer(why))),
        };
        let expected_load = fleet.expected_load(now, server, &need, spec);
        let Err(bottleneck) = check(request, &expected_load) else {
            return Ok(server);
        };
        rejected.get_or_insert(AdmissionError::Rejected(Rejection {
            bottleneck,
            server,
            expected_load,
        }));
        excluded.push(server);
    }
    Err(rejected.unwrap_or(AdmissionError::NoServer(NoServer::None)))
}

/// Checks whether an engine with this outlook has room for the stream.
pub fn check(request: &AdmissionRequest, expected_load: &ExpectedLoad) -> Result<(), Bottleneck> {
    let reserve = f64::from(request.rank) * KIND_RESERVE;
    let bonus = match request.age + expected_load.prefill_backlog + expected_load.own_prefill_time {
        _ if request.age.is_zero() => 0.0,
        begins if begins <= request.objective => RETRY_BONUS,
        _ => -LATE_RESERVE,
    };
    let bonus = if request.over_share {
        bonus - OVER_SHARE_RESERVE
    } else {
        bonus
    };
    let bonus = match request.waiting && request.rank > 0 {
        true => bonus - WAIT_RESERVE,
        false => bonus,
    };
    let share = (MEMORY_SHARE - reserve).max(MIN_MEMORY_SHARE) + bonus;
    if expected_load.running >= expected_load.slots {
        return Err(Bottleneck::Slots);
    }
    // A request larger than the share is admitted by an idle engine: no other engine would ever have
    // more room for it.
    if expected_load.memory > share && expected_load.running > 0 {
        return Err(Bottleneck::Memory);
    }
    let prefill = match request.rank {
        0 => PREFILL_SHARE_URGENT,
        _ => PREFILL_SHARE_OTHER,
    };
    if expected_load.prefill_backlog > request.objective.mul_f64((prefill + bonus).max(0.0)) {
        return Err(Bottleneck::Prefill);
    }
    Ok(())
}

/// Computes retry delays for the rejected callers of one entry.
#[derive(Debug, Default)]
pub struct RetryPacer {
    // By service and the number of more urgent kinds.
    paces: HashMap<(Name, u32), AdmissionPace>,
}

/// The rate of admissions of one kind of stream, and the retries scheduled within it.
#[derive(Debug, Default)]
struct AdmissionPace {
    last_admission: Time,
    // Moving average of the seconds between admissions.
    interval: f64,
    retries: RetrySchedule,
}

impl RetryPacer {
    /// Creates an instance without any admissions or rejections.
    pub fn new() -> Self {
        RetryPacer::default()
    }

    /// Records an admission.
    pub fn record_admission(&mut self, now: Time, service: &Name, rank: u32) {
        let pace = self.pace(service, rank);
        let elapsed = now.since(pace.last_admission).as_secs_f64();
        pace.interval += INTERVAL_WEIGHT * (elapsed.min(MAX_INTERVAL) - pace.interval);
        pace.last_admission = now;
    }

    /// The delay after which a rejected caller with `left` until its deadline should retry. One that can
    /// still be in time is given a slot within its objective; otherwise the delay is near the longest that
    /// callers heed. `jitter` is a random number from 0 to 1.
    pub fn retry_delay(
        &mut self,
        now: Time,
        service: &Name,
        request: &AdmissionRequest,
        left: Duration,
        jitter: f64,
    ) -> Duration {
        let pace = self.pace(service, request.rank);
        let interval = Duration::from_secs_f64(pace.interval);
        let slot = pace.retries.schedule(now, MIN_DELAY, interval);
        let in_time = request.objective.mul_f64(RETRY_IN_TIME_SHARE);
        match slot <= in_time && request.age.is_zero() {
            true => slot.min(left / HEEDED_DIVISOR),
            false => (left / HEEDED_DIVISOR).mul_f64(1.0 - jitter / 4.0),
        }
    }

    fn pace(&mut self, service: &Name, rank: u32) -> &mut AdmissionPace {
        self.paces.entry((service.clone(), rank)).or_default()
    }
}
