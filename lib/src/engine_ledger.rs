//! What an engine's memory will hold, and what it has still to read: kept by the scout beside it.
//!
//! Load pattern: several relays send to one engine within the time that a report takes, and each run grows
//! for seconds after it was taken in. By what engines hold now they look half empty, and a few seconds
//! later all of them displace runs in the middle, whose prompts are read again.
//!
//! Relays tell the scout what they expect of each request. The scout sees which runs have begun, what they
//! hold and which have ended, so that nobody has to agree on anything: the sum of what runs, grown to its
//! expected ends, and of what is under way, stands here alone. Expectations are right for half of the
//! runs; one that has outlived its own is expected to go on for half as long again.

use std::collections::HashMap;
use std::time::Duration;

use crate::dialect::EngineReport;
use crate::dialect::EngineRun;
use crate::ids::Name;
use crate::memory_plan::Footprint;
use crate::memory_plan::MemoryPlan;
use crate::move_plan;
use crate::peer_words::SentWord;
use crate::time::Time;

/// Tokens by which a long run is expected to grow whose relay has said nothing: half of what one writes.
const USUAL_GROWTH: u64 = 400;

/// Tokens of a request of which only the number is known.
const USUAL_PROMPT: u64 = 2_600;

/// After this a request that has not begun counts by the engine's own word only: it was turned away, or
/// its caller has gone.
const UNDER_WAY: Duration = Duration::from_millis(300);

/// What waits longer was lost with its word of the end: no caller waits so long for a first event.
const FORGOTTEN: Duration = Duration::from_secs(40);

/// What an engine's memory will hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Tokens at the highest point that is expected of all that runs or is under way.
    pub tokens: u64,
    /// Tokens of prompts that are still to be read.
    pub unread: u64,
}

/// A request that a relay has sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Time,
    prompt: u64,
    // Tokens that it is expected to hold at its end.
    tokens: u64,
    begun: bool,
}

/// The requests of one engine.
#[derive(Debug, Default)]
pub struct EngineLedger {
    sent: HashMap<Name, Sent>,
}

impl EngineLedger {
    /// Nothing is under way.
    pub fn new() -> Self {
        EngineLedger::default()
    }

    /// A relay has sent a request.
    pub fn sent(&mut self, now: Time, word: &SentWord) {
        let sent = Sent {
            at: now,
            prompt: word.prompt,
            tokens: word.tokens,
            begun: false,
        };
        self.sent.insert(word.id.clone(), sent);
    }

    /// Takes in what the engine says of itself, and plans with it. Takes O(n log n) in its runs.
    pub fn plan(&mut self, now: Time, report: &EngineReport) -> Plan {
        self.settle(now, report);
        let mut all: Vec<Footprint> = report.runs.iter().map(|run| self.footprint(run)).collect();
        let mut waiting: Vec<Sent> = self.sent.values().filter(|s| !s.begun).copied().collect();
        waiting.sort_by_key(|sent| std::cmp::Reverse(sent.at));
        // The engine's own word on their number goes first, but for those it cannot have seen.
        let reading = report.reading as usize;
        let young = waiting.iter().filter(|s| now.since(s.at) < UNDER_WAY);
        let counted = reading.max(young.count());
        waiting.truncate(counted);
        let unknown = reading.saturating_sub(waiting.len()) as u64;
        let mut unread: u64 = waiting.iter().map(|sent| sent.prompt).sum();
        unread += unknown * USUAL_PROMPT;
        all.extend(waiting.iter().map(|sent| {
            let growth = sent.tokens.saturating_sub(sent.prompt);
            footprint(sent.prompt, growth)
        }));
        all.extend((0..unknown).map(|_| footprint(USUAL_PROMPT, USUAL_GROWTH)));
        Plan {
            tokens: MemoryPlan::peak(&mut all) as u64,
            unread,
        }
    }

    /// Requests that are known.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Notes which requests have begun, and forgets those that have ended.
    fn settle(&mut self, now: Time, report: &EngineReport) {
        let runs: HashMap<&Name, &EngineRun> =
            report.runs.iter().map(|run| (&run.id, run)).collect();
        let idle = report.reading == 0;
        self.sent.retain(|id, sent| {
            if runs.contains_key(id) {
                sent.begun = true;
                return true;
            }
            let age = now.since(sent.at);
            let lost = idle && age >= UNDER_WAY;
            !sent.begun && !lost && age < FORGOTTEN
        });
    }

    fn footprint(&self, run: &EngineRun) -> Footprint {
        let expected = self.sent.get(&run.id).map(|sent| sent.tokens);
        let usual = match move_plan::is_short(run.rank) {
            true => 0,
            false => USUAL_GROWTH,
        };
        let growth = match expected {
            None => usual,
            Some(expected) if expected > run.tokens => expected - run.tokens,
            Some(_) => usual / 2,
        };
        footprint(run.tokens, growth)
    }
}

fn footprint(held: u64, growth: u64) -> Footprint {
    Footprint {
        held,
        mean: growth as f64,
        variance: 0.0,
        most: growth,
    }
}
