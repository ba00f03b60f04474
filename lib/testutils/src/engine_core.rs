//! The batch of a stand-in engine: which generations run, what each step costs, and which of them
//! is displaced when memory is full. It knows neither network nor timers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::backend::GenerationSpec;
use cicada_lib::engine_http::PREFIX_BLOCK;
use cicada_lib::engine_http::prefix_digests;
use cicada_lib::ids::GenerationId;

use crate::generation::BYTES_PER_TOKEN;
use crate::generation::End;
use crate::generation::Generation;
use crate::generation::Page;
use crate::generation::Phase;
use crate::generation::Rank;
use crate::generation::RunRecord;
use crate::output_length::OutputLengths;
use crate::prefix_cache::PrefixCache;

/// The word in a prompt that ends the engine which runs it.
pub const KILL_WORD: &str = "KILL";

/// What a step costs and what fits.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// The time that a step takes with an empty batch.
    pub step: Duration,
    /// The time that each running generation adds to a step.
    pub per_sequence: Duration,
    /// The time to compute one token of a prompt.
    pub prefill: Duration,
    /// Tokens that fit in memory.
    pub capacity: u64,
    /// The largest number of running generations.
    pub max_batch: usize,
    /// The lengths of the outputs.
    pub lengths: OutputLengths,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// How late cache events are.
    pub cache_lag: Duration,
    /// The part of cache events that are lost, from 0 to 1.
    pub cache_gaps: f64,
    /// How long a generation's tokens are kept after its end.
    pub keep: Duration,
}

impl CoreSettings {
    /// A small engine: about 2 ms a step, 16,384 tokens of memory, outputs of 64 tokens by median.
    pub fn new() -> Self {
        CoreSettings {
            step: Duration::from_millis(2),
            per_sequence: Duration::from_micros(50),
            prefill: Duration::from_micros(10),
            capacity: 16_384,
            max_batch: 64,
            lengths: OutputLengths {
                median: 64,
                spread: 1.0,
                longest: 8_192,
                seed: 1,
            },
            cache_blocks: 256,
            cache_lag: Duration::from_millis(200),
            cache_gaps: 0.01,
            keep: Duration::from_secs(30),
        }
    }
}

impl Default for CoreSettings {
    fn default() -> Self {
        CoreSettings::new()
    }
}

/// What a step did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// There was nothing to run.
    Idle,
    /// Each running generation gets a token when this time has passed.
    Ran(Duration),
    /// A prompt ended the engine.
    Killed,
}

#[derive(Debug)]
struct Ended {
    at: Instant,
    id: GenerationId,
}

/// The engine's batch.
#[derive(Debug)]
pub struct EngineCore {
    settings: CoreSettings,
    generations: HashMap<GenerationId, Generation>,
    // Those that run, by arrival.
    running: BTreeMap<u64, GenerationId>,
    waiting: BTreeMap<Rank, GenerationId>,
    // Those displaced by order; in neither of the two above.
    paused: usize,
    // Those that are over and kept, the oldest end first.
    over: VecDeque<Ended>,
    arrivals: u64,
    // Tokens of the running ones; at most the capacity after each step.
    used: u64,
    preemptions: u64,
    incarnation: u64,
    cache: PrefixCache,
    // Those that are no longer in `generations`.
    records: Vec<RunRecord>,
}

impl EngineCore {
    /// An empty batch.
    pub fn new(settings: CoreSettings, incarnation: u64) -> Self {
        EngineCore {
            cache: new_cache(&settings, incarnation),
            settings,
            generations: HashMap::new(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            paused: 0,
            over: VecDeque::new(),
            arrivals: 0,
            used: 0,
            preemptions: 0,
            incarnation,
            records: Vec::new(),
        }
    }

    /// Takes a generation in; `false` where one with its identifier is known.
    pub fn start(&mut self, spec: GenerationSpec) -> bool {
        if self.generations.contains_key(&spec.id) {
            return false;
        }
        let id = spec.id;
        self.arrivals += 1;
        let length = self.settings.lengths.draw(&spec.prompt);
        let generation = Generation::new(spec, self.arrivals, length);
        self.waiting.insert(generation.rank(), id);
        self.generations.insert(id, generation);
        true
    }

    /// The lines of a generation from line `place`; `None` where it is unknown.
    pub fn page(&self, id: GenerationId, place: usize) -> Option<Page> {
        Some(self.generations.get(&id)?.page(place))
    }

    /// The line of token `from`, or the one after the last where it is still to come.
    pub fn place(&self, id: GenerationId, from: u32) -> Option<usize> {
        Some(self.generations.get(&id)?.place(from))
    }

    /// Ends a generation; `false` where it is unknown.
    pub fn cancel(&mut self, id: GenerationId, now: Instant) -> bool {
        self.finish(id, End::Cancelled, now);
        self.generations.contains_key(&id)
    }

    /// Displaces a generation until it is resumed; `false` where it is unknown or over.
    pub fn pause(&mut self, id: GenerationId) -> bool {
        let Some(phase) = self.generations.get(&id).map(|found| found.phase) else {
            return false;
        };
        match phase {
            Phase::Over => return false,
            Phase::Paused => return true,
            Phase::Running => self.displace(id),
            Phase::Waiting => {}
        }
        if let Some(generation) = self.generations.get_mut(&id) {
            self.waiting.remove(&generation.rank());
            generation.phase = Phase::Paused;
            self.paused += 1;
        }
        true
    }

    /// Lets a displaced generation run again; `false` where it is unknown or over.
    pub fn resume(&mut self, id: GenerationId) -> bool {
        let Some(generation) = self.generations.get_mut(&id) else {
            return false;
        };
        if generation.phase == Phase::Paused {
            generation.phase = Phase::Waiting;
            self.waiting.insert(generation.rank(), id);
            self.paused -= 1;
        }
        generation.phase != Phase::Over
    }

    /// Decides the next step: who joins the batch, and how long the step takes.
    pub fn plan(&mut self, now: Instant) -> Step {
        self.forget(now);
        let prefill = self.admit(now);
        if self.running.is_empty() {
            return Step::Idle;
        }
        let generations = &self.generations;
        let kills = |id| generations[id].spec.prompt.contains(KILL_WORD);
        if self.running.values().any(kills) {
            return Step::Killed;
        }
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let decode = self.settings.step + self.settings.per_sequence * batch;
        Step::Ran(decode + self.settings.prefill * prefill)
    }

    /// Ends a step: a token for each running generation, after some were displaced for want of
    /// memory.
    pub fn produce(&mut self, now: Instant) {
        self.make_room(now);
        let running: Vec<_> = self.running.values().copied().collect();
        for id in running {
            self.produce_one(id, now);
        }
    }

    /// The engine dies: every generation is gone, only the record stays.
    pub fn die(&mut self) {
        for (_, mut generation) in self.generations.drain() {
            generation.die();
            self.records.push(generation.record(self.incarnation));
        }
        self.running.clear();
        self.waiting.clear();
        self.over.clear();
        self.paused = 0;
        self.used = 0;
        self.preemptions = 0;
    }

    /// The engine starts anew, with an empty cache.
    pub fn reborn(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.cache = new_cache(&self.settings, incarnation);
    }

    /// Generations that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Generations that wait, displaced ones included.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.paused
    }

    /// Tokens in memory.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Displacements since the start.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// The number of this start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The prefix cache.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Everything that was started since the first start, in that order.
    pub fn records(&self) -> Vec<RunRecord> {
        let mut records = self.records.clone();
        for generation in self.generations.values() {
            records.push(generation.record(self.incarnation));
        }
        records.sort_by_key(|record| record.number);
        records
    }

    /// Lets the first of the waiting in while their tokens fit; returns the tokens to compute.
    fn admit(&mut self, now: Instant) -> u32 {
        let mut prefill = 0;
        while self.running.len() < self.settings.max_batch {
            let Some((&rank, &id)) = self.waiting.first_key_value() else {
                break;
            };
            let Some(generation) = self.generations.get_mut(&id) else {
                break;
            };
            // A token more for each must fit as well, or one would be displaced at once.
            let growth = self.running.len() as u64 + 1;
            let needed = self.used + generation.tokens() + growth;
            if needed > self.settings.capacity && !self.running.is_empty() {
                break;
            }
            self.waiting.remove(&rank);
            prefill += computed(generation, &mut self.cache, now);
            generation.run();
            self.used += generation.tokens();
            self.running.insert(generation.arrival, id);
        }
        prefill
    }

    fn make_room(&mut self, now: Instant) {
        while self.used + self.running.len() as u64 > self.settings.capacity {
            match self.victim() {
                None => return,
                Some(id) if self.running.len() == 1 => self.finish(id, End::OutOfMemory, now),
                Some(id) => self.displace(id),
            }
        }
    }

    /// The lowest priority, and among equals the latest arrival.
    fn victim(&self) -> Option<GenerationId> {
        let rank = |arrival: u64, id: &GenerationId| {
            let priority = self.generations[id].spec.priority;
            (priority, Reverse(arrival))
        };
        self.running
            .iter()
            .min_by_key(|(arrival, id)| rank(**arrival, id))
            .map(|(_, &id)| id)
    }

    fn displace(&mut self, id: GenerationId) {
        let Some(generation) = self.generations.get_mut(&id) else {
            return;
        };
        self.running.remove(&generation.arrival);
        self.used -= generation.tokens();
        generation.displace();
        self.waiting.insert(generation.rank(), id);
        self.preemptions += 1;
    }

    fn produce_one(&mut self, id: GenerationId, now: Instant) {
        let Some(generation) = self.generations.get_mut(&id) else {
            return;
        };
        let last = generation.produce();
        self.used += 1;
        if last {
            self.finish(id, End::Done, now);
        }
    }

    fn finish(&mut self, id: GenerationId, end: End, now: Instant) {
        let Some(generation) = self.generations.get_mut(&id) else {
            return;
        };
        match generation.phase {
            Phase::Over => return,
            Phase::Paused => self.paused -= 1,
            Phase::Waiting => {
                self.waiting.remove(&generation.rank());
            }
            Phase::Running => {
                self.running.remove(&generation.arrival);
                self.used -= generation.tokens();
            }
        }
        generation.finish(end);
        self.over.push_back(Ended { at: now, id });
    }

    /// Drops what ended long ago.
    fn forget(&mut self, now: Instant) {
        while let Some(ended) = self.over.front() {
            if now.saturating_duration_since(ended.at) < self.settings.keep {
                return;
            }
            if let Some(generation) = self.generations.remove(&ended.id) {
                self.records.push(generation.record(self.incarnation));
            }
            self.over.pop_front();
        }
    }
}

fn new_cache(settings: &CoreSettings, incarnation: u64) -> PrefixCache {
    PrefixCache::new(
        settings.cache_blocks,
        settings.cache_lag,
        settings.cache_gaps,
        settings.lengths.seed ^ incarnation,
    )
}

/// The tokens to compute before a generation can go on: all but the cached ones.
fn computed(generation: &Generation, cache: &mut PrefixCache, now: Instant) -> u32 {
    let spec = &generation.spec;
    let digests = prefix_digests(spec.model.as_str(), spec.adapter.as_str(), &spec.prompt);
    let hits = cache.touch(&digests, now);
    let cached = (hits * PREFIX_BLOCK / BYTES_PER_TOKEN) as u64;
    let tokens = generation.tokens().saturating_sub(cached);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
