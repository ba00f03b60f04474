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
//!
//! A relay that asks what a request would meet has a claim for a moment, so that two relays that ask one after the
//! other are not promised the same room. It counts for the part of a request that is to be expected: of five
//! engines that are asked one gets it. Counted whole, many claims at once would make idle engines look crowded.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::dialect::EngineReport;
use crate::dialect::EngineRun;
use crate::ids::Name;
use crate::memory_plan::Footprint;
use crate::memory_plan::MemoryPlan;
use crate::move_plan;
use crate::peer_words::LoadAsk;
use crate::peer_words::SentWord;
use crate::reading_rate::ReadingRate;
use crate::time::Time;

/// Tokens by which a long run is expected to grow whose relay has said nothing: half of what one writes.
const USUAL_GROWTH: u64 = 400;

/// Tokens of a request of which only the number is known.
const USUAL_PROMPT: u64 = 2_600;

/// After this a request that has not begun counts by the engine's own word only: it was turned away, or
/// its caller has gone.
const UNDER_WAY: Duration = Duration::from_millis(300);

/// How long a claim holds: the relay's choice and its word of the send take a few milliseconds, and most
/// claims are of relays that chose another engine.
const CLAIM: Duration = Duration::from_millis(40);

/// What was sent so shortly before the engine was looked at is not in its report: the connection was still
/// being opened.
const UNSEEN: Duration = Duration::from_millis(5);

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
    stage: Stage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    // Asked for by a relay, which may send it elsewhere.
    Claimed,
    Sent,
    Begun,
}

impl Sent {
    fn new(at: Time, prompt: u64, tokens: u64, stage: Stage) -> Self {
        Sent {
            at,
            prompt,
            tokens,
            stage,
        }
    }

    /// Whether it still has to be read, as far as is known.
    fn waits(&self, now: Time) -> bool {
        match self.stage {
            Stage::Claimed => now.since(self.at) < CLAIM,
            Stage::Sent => true,
            Stage::Begun => false,
        }
    }
}

/// The requests of one engine.
#[derive(Debug, Default)]
pub struct EngineLedger {
    sent: HashMap<Name, Sent>,
    // What the engine said last, and when.
    report: EngineReport,
    looked: Time,
    reading: ReadingRate,
}

impl EngineLedger {
    /// Nothing is under way.
    pub fn new() -> Self {
        EngineLedger::default()
    }

    /// A relay has sent a request.
    pub fn sent(&mut self, now: Time, word: &SentWord) {
        let sent = Sent::new(now, word.prompt, word.tokens, Stage::Sent);
        self.sent.insert(word.id.clone(), sent);
    }

    /// A relay asks what a request would meet, and may send it.
    pub fn claimed(&mut self, now: Time, ask: &LoadAsk) {
        let asked = u64::from(ask.asked.max(1));
        let (prompt, tokens) = (ask.prompt / asked, ask.tokens / asked);
        let claim = Sent::new(now, prompt, tokens, Stage::Claimed);
        self.sent.entry(ask.id.clone()).or_insert(claim);
    }

    /// Takes in what the engine says of itself.
    pub fn look(&mut self, now: Time, report: EngineReport) {
        let begun = self.settle(now, &report);
        self.reading.looked(now, report.reading > 0, begun);
        self.report = report;
        self.looked = now;
    }

    /// What the engine is expected to hold and to read, but for the request `without`. Takes O(n log n) in
    /// its runs.
    pub fn plan(&self, now: Time, without: Option<&Name>) -> Plan {
        let report = &self.report;
        let mut all: Vec<Footprint> = report.runs.iter().map(|run| self.footprint(run)).collect();
        let (unseen, mut waiting) = self.waiting(now, without);
        // The engine's own word on their number goes first, but for those it cannot have seen.
        let reading = report.reading as usize;
        let young = waiting.iter().filter(|s| now.since(s.at) < UNDER_WAY);
        let counted = reading.max(young.count());
        waiting.truncate(counted);
        let unknown = reading.saturating_sub(waiting.len()) as u64;
        let mut unread: u64 = waiting.iter().chain(&unseen).map(|sent| sent.prompt).sum();
        unread += unknown * USUAL_PROMPT;
        all.extend(waiting.iter().chain(&unseen).map(|sent| {
            let growth = sent.tokens.saturating_sub(sent.prompt);
            footprint(sent.prompt, growth)
        }));
        all.extend((0..unknown).map(|_| footprint(USUAL_PROMPT, USUAL_GROWTH)));
        Plan {
            tokens: MemoryPlan::peak(&mut all) as u64,
            unread,
        }
    }

    /// What has not begun: what the engine's report cannot show yet, and the rest with the latest first.
    fn waiting(&self, now: Time, without: Option<&Name>) -> (Vec<Sent>, Vec<Sent>) {
        let others = self.sent.iter().filter(|(id, _)| Some(*id) != without);
        let waiting = others.filter(|(_, sent)| sent.waits(now));
        let (unseen, mut rest): (Vec<Sent>, Vec<Sent>) = waiting
            .map(|(_, sent)| *sent)
            .partition(|sent| sent.at + UNSEEN > self.looked);
        rest.sort_by_key(|sent| std::cmp::Reverse(sent.at));
        (unseen, rest)
    }

    /// Tokens of prompts that the engine reads in a millisecond.
    pub fn reading_rate(&self) -> f64 {
        self.reading.per_ms()
    }

    /// Requests that are known.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Notes which requests have begun, and forgets those that have ended. Returns the tokens of the prompts of those
    /// that have begun since the last look.
    fn settle(&mut self, now: Time, report: &EngineReport) -> u64 {
        let mut begun = 0;
        let runs: HashSet<&Name> = report.runs.iter().map(|run| &run.id).collect();
        let idle = report.reading == 0;
        self.sent.retain(|id, sent| {
            if runs.contains(id) {
                if sent.stage == Stage::Sent {
                    begun += sent.prompt;
                }
                sent.stage = Stage::Begun;
                return true;
            }
            let age = now.since(sent.at);
            let lost = idle && age >= UNDER_WAY;
            sent.waits(now) && !lost && age < FORGOTTEN
        });
        begun
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
