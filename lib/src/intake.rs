//! Whether a stream is taken in, and when its caller is asked back.
//!
//! Load pattern: more callers come for seconds than the engines can serve: 1.5 to 6 times as many. An
//! engine's memory fills with long runs, it displaces some of them in the middle, and all that it reads
//! waits behind what it reads again. Taken in without a bound, everyone waits, and the more come the fewer
//! are served: at 6 times the usual load a sixth of what the same engines do at 1.5 times.
//!
//! So a stream is taken in where its engine is expected to hold it to its end and to begin it in time, and
//! turned away at once everywhere else. What is judged is the engine that would serve it best, with the
//! plan that its scout keeps and what was sent there since.
//!
//! - **Memory.** The highest point that is expected must fit. Requests that are less urgent than others of
//!   the service leave a part free for these, so that an urgent one never waits for a long one to end.
//! - **Reading.** The prompts before it must be read in a part of the objective. Its own is not judged: it
//!   takes as long everywhere, and long ones would be turned away by idle engines.
//!
//! A workspace that has taken more than its share leaves room for the others, see [`crate::workspace_use`].
//!
//! A caller that was turned away and is back in time goes before others of its kind: its objective runs
//! since it came first. One that cannot be in time any more takes only what others leave.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::Promises;
use crate::copy_type;
use crate::fleet::Fleet;
use crate::fleet::Need;
use crate::fleet::NoServer;
use crate::fleet::Outlook;
use crate::ids::Name;
use crate::routing::ServerKey;
use crate::site::ServiceSpec;
use crate::time::Time;

/// The part of an engine's memory that the most urgent kind of request may fill. Half of the runs outlive
/// their expectation, and a displaced run costs its caller a pause and the engine a prompt.
const MEMORY_PART: f64 = 0.95;

/// The part that each less urgent kind leaves free for those before it: a prompt of 2,500 tokens in memories of
/// 27,000 and 34,000, of which an urgent request holds little else and not for long.
const KIND_PART: f64 = 0.08;

/// The least part that any kind may fill.
const LEAST_PART: f64 = 0.5;

/// What a caller that is back in time may fill beyond the others of its kind, and what one that is late
/// leaves free for them, of memory and of the objective.
const BACK_PART: f64 = 0.05;
const LATE_PART: f64 = 0.25;

/// What a workspace that has taken more than its share leaves free for others, of memory and of the objective:
/// a long request at each engine, which is room for the few that the others send.
const OVER_PART: f64 = 0.12;

/// The part of the objective in which the prompts before a request may be read, for the most urgent kind and
/// for the others. Urgent ones are read first and hardly wait: what they need is that few of them are under
/// way, since all that runs is slower while an engine reads. The others have them come in between; with
/// more for urgent ones, long runs would hold their memory for up to twice as long.
const READING_FIRST: f64 = 0.3;
const READING_REST: f64 = 0.5;

/// Engines that are judged for one request: what fits nowhere among the best of them fits nowhere.
const MOST_JUDGED: usize = 5;

/// The part of the objective after which a caller that comes back is not in time any more.
const BACK_IN_TIME: f64 = 0.55;

/// The first that a caller is asked back: an engine ends a run in some hundred milliseconds.
const SOONEST: Duration = Duration::from_millis(200);

/// A caller heeds a time of up to a third of what it has left.
const HEEDED: u32 = 3;

/// An interval between two that were taken in says no more about the pace when it is longer.
const LONGEST_INTERVAL: f64 = 4.0;

/// The weight of the latest interval between two that were taken in.
const NEW_WEIGHT: f64 = 0.1;

copy_type! {
    /// Why a stream is not taken in.
    pub enum Crowded {
        /// No engine has memory for it.
        Memory,
        /// Prompts that are read first would make it late.
        Reading,
        /// No engine has a free slot.
        Slots,
    }
}

impl Crowded {
    /// The word for logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            Crowded::Memory => "memory",
            Crowded::Reading => "reading",
            Crowded::Slots => "slots",
        }
    }
}

/// A stream that asks to be taken in.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    /// How many kinds of request of the service are more urgent.
    pub before: u32,
    /// How long ago its caller first asked, where it was turned away and is back; zero for others.
    pub age: Duration,
    /// Whether its workspace has taken more than its share lately.
    pub over: bool,
    /// The time within which its first event is worth the most.
    pub objective: Duration,
}

/// A stream that is not taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnedAway {
    /// What is short.
    pub why: Crowded,
    /// The engine that would have served it best.
    pub server: ServerKey,
    /// What it would have met there.
    pub outlook: Outlook,
}

/// Why a request has no place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoPlace {
    /// No server is left for it.
    NoServer(NoServer),
    /// All that could serve it are too crowded.
    Crowded(TurnedAway),
}

/// The engine at which a stream is taken in: the best one that is not too crowded.
pub fn place(
    fleet: &Fleet,
    now: Time,
    need: &Need<'_>,
    spec: &ServiceSpec,
    asking: &Asking,
) -> Result<ServerKey, NoPlace> {
    let mut passed = need.tried.to_vec();
    let mut turned = None;
    for _ in 0..MOST_JUDGED {
        let need = Need {
            tried: &passed,
            ..need.clone()
        };
        let server = match fleet.choose(now, &need, spec) {
            Ok(server) => server,
            Err(why) => return Err(turned.unwrap_or(NoPlace::NoServer(why))),
        };
        let outlook = fleet.outlook(now, server, &need, spec);
        let Err(why) = judge(asking, &outlook) else {
            return Ok(server);
        };
        turned.get_or_insert(NoPlace::Crowded(TurnedAway {
            why,
            server,
            outlook,
        }));
        passed.push(server);
    }
    Err(turned.unwrap_or(NoPlace::NoServer(NoServer::None)))
}

/// Whether the stream is taken in.
pub fn judge(asking: &Asking, outlook: &Outlook) -> Result<(), Crowded> {
    let kinds = f64::from(asking.before) * KIND_PART;
    let back = match asking.age + outlook.before + outlook.own {
        _ if asking.age.is_zero() => 0.0,
        begins if begins <= asking.objective => BACK_PART,
        _ => -LATE_PART,
    };
    let back = if asking.over { back - OVER_PART } else { back };
    let part = (MEMORY_PART - kinds).max(LEAST_PART) + back;
    if outlook.running >= outlook.slots {
        return Err(Crowded::Slots);
    }
    // What is larger than the part is taken in by an engine that has nothing else: it would wait for
    // ever for a better one.
    if outlook.memory > part && outlook.running > 0 {
        return Err(Crowded::Memory);
    }
    let reading = match asking.before {
        0 => READING_FIRST,
        _ => READING_REST,
    };
    if outlook.before > asking.objective.mul_f64((reading + back).max(0.0)) {
        return Err(Crowded::Reading);
    }
    Ok(())
}

/// When callers of one entry are asked back.
#[derive(Debug, Default)]
pub struct Comebacks {
    // By service and urgency.
    paces: HashMap<(Name, u32), Pace>,
}

/// How quickly streams of one kind are taken in, and to whom that was promised.
#[derive(Debug, Default)]
struct Pace {
    taken: Time,
    // Seconds between two that were taken in.
    interval: f64,
    promises: Promises,
}

impl Comebacks {
    /// Nobody was turned away.
    pub fn new() -> Self {
        Comebacks::default()
    }

    /// A stream was taken in.
    pub fn taken(&mut self, now: Time, service: &Name, before: u32) {
        let pace = self.pace(service, before);
        let passed = now.since(pace.taken).as_secs_f64();
        pace.interval += NEW_WEIGHT * (passed.min(LONGEST_INTERVAL) - pace.interval);
        pace.taken = now;
    }

    /// When a caller that is turned away and has `left` until its deadline should come back. One that can
    /// still be in time is asked within its objective; one that cannot, when those before it are through.
    pub fn pause(
        &mut self,
        now: Time,
        service: &Name,
        asking: &Asking,
        left: Duration,
        spread: f64,
    ) -> Duration {
        let pace = self.pace(service, asking.before);
        let interval = Duration::from_secs_f64(pace.interval);
        let promised = pace.promises.promise(now, SOONEST, interval);
        let in_time = asking.objective.mul_f64(BACK_IN_TIME);
        match promised <= in_time && asking.age.is_zero() {
            true => promised.min(left / HEEDED),
            false => (left / HEEDED).mul_f64(1.0 - spread / 4.0),
        }
    }

    fn pace(&mut self, service: &Name, before: u32) -> &mut Pace {
        self.paces.entry((service.clone(), before)).or_default()
    }
}
