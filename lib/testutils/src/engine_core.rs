//! The batch of a stand-in engine: which generations run, what each step costs, and which of them
//! is displaced when memory is full. It knows neither network nor timers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::engine_http::PREFIX_BLOCK;
use cicada_lib::engine_http::StreamLine;
use cicada_lib::engine_http::prefix_digests;
use cicada_lib::ids::GenerationId;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::prefix_cache::PrefixCache;
use crate::token_text::fnv;
use crate::token_text::prompt_digest;
use crate::token_text::token_text;

/// The bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

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
    /// The median length of an output, in tokens.
    pub median_output: u32,
    /// The spread of the lengths: the standard deviation of their logarithm.
    pub spread: f64,
    /// The longest output that is drawn.
    pub longest_output: u32,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// How late cache events are.
    pub cache_lag: Duration,
    /// The part of cache events that are lost, from 0 to 1.
    pub cache_gaps: f64,
    /// How long a generation's tokens are kept after its end.
    pub keep: Duration,
    /// Seeds the output lengths and the lost events.
    pub seed: u64,
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
            median_output: 64,
            spread: 1.0,
            longest_output: 8_192,
            cache_blocks: 256,
            cache_lag: Duration::from_millis(200),
            cache_gaps: 0.01,
            keep: Duration::from_secs(30),
            seed: 1,
        }
    }
}

impl Default for CoreSettings {
    fn default() -> Self {
        CoreSettings::new()
    }
}

/// Why the engine refuses or ends a generation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// It is not over yet.
    Open,
    /// It came to its end.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Its memory alone exceeds the engine's.
    OutOfMemory,
    /// The engine died under it.
    Died,
}

/// A generation that the engine was given, in the record.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunRecord {
    /// The generation.
    pub id: GenerationId,
    /// The engine's start in which it was given.
    pub incarnation: u64,
    /// The digest of its prompt.
    pub digest: u16,
    /// How it ended.
    pub end: End,
    /// Tokens produced.
    pub output_tokens: u32,
    /// How often it was displaced.
    pub preemptions: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    Running,
    // Displaced by order: waits for the order to resume.
    Paused,
    Over(Instant),
}

#[derive(Debug)]
struct Generation {
    spec: GenerationSpec,
    digest: u16,
    prompt_tokens: u32,
    // The length at which it ends, not above the limit of its request.
    target: u32,
    truncated: bool,
    produced: u32,
    phase: Phase,
    // The order of arrival: among equals the latest is displaced first.
    arrival: u64,
    // The place in the record.
    record: usize,
    // All lines so far; streams read on from where they are.
    lines: Vec<StreamLine>,
    // The place in `lines` of each token.
    places: Vec<usize>,
    changed: Arc<Notify>,
}

impl Generation {
    fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.produced)
    }

    fn push(&mut self, line: StreamLine) {
        self.lines.push(line);
        self.changed.notify_waiters();
    }
}

/// What a reader of a stream gets.
#[derive(Debug)]
pub struct Page {
    /// The lines from the place asked for.
    pub lines: Vec<StreamLine>,
    /// Whether there will be no more.
    pub over: bool,
    /// Signals new lines.
    pub changed: Arc<Notify>,
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

/// The engine's batch.
#[derive(Debug)]
pub struct EngineCore {
    settings: CoreSettings,
    generations: HashMap<GenerationId, Generation>,
    // Those that run, by arrival.
    running: BTreeMap<u64, GenerationId>,
    // Those that wait: the largest priority first, then by arrival.
    waiting: BTreeMap<(u8, u64), GenerationId>,
    paused: usize,
    arrivals: u64,
    // Tokens of the running ones; at most the capacity after each step.
    used: u64,
    preemptions: u64,
    incarnation: u64,
    cache: PrefixCache,
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
            arrivals: 0,
            used: 0,
            preemptions: 0,
            incarnation,
            records: Vec::new(),
        }
    }

    /// Takes a generation in; `false` where one with its identifier was given before.
    pub fn start(&mut self, spec: GenerationSpec) -> bool {
        if self.generations.contains_key(&spec.id) {
            return false;
        }
        let id = spec.id;
        self.arrivals += 1;
        let drawn = self.draw_length(&spec.prompt);
        let digest = prompt_digest(&spec.prompt);
        let generation = Generation {
            digest,
            prompt_tokens: prompt_tokens(&spec.prompt),
            target: drawn.min(spec.max_tokens.max(1)),
            truncated: drawn > spec.max_tokens,
            produced: 0,
            phase: Phase::Waiting,
            arrival: self.arrivals,
            record: self.records.len(),
            lines: Vec::new(),
            places: Vec::new(),
            changed: Arc::new(Notify::new()),
            spec,
        };
        self.records.push(RunRecord {
            id,
            incarnation: self.incarnation,
            digest,
            end: End::Open,
            output_tokens: 0,
            preemptions: 0,
        });
        self.waiting.insert(rank(&generation), id);
        self.generations.insert(id, generation);
        true
    }

    /// The lines of a generation from line `place`; `None` where it is unknown.
    pub fn page(&self, id: GenerationId, place: usize) -> Option<Page> {
        let generation = self.generations.get(&id)?;
        Some(Page {
            lines: generation.lines.get(place..).unwrap_or_default().to_vec(),
            over: matches!(generation.phase, Phase::Over(_)),
            changed: generation.changed.clone(),
        })
    }

    /// The line of token `from`, or the one after the last where it is still to come.
    pub fn place(&self, id: GenerationId, from: u32) -> Option<usize> {
        let generation = self.generations.get(&id)?;
        let end = match generation.phase {
            // So that whoever asks past the end still gets the last line.
            Phase::Over(_) => generation.lines.len().saturating_sub(1),
            _ => generation.lines.len(),
        };
        let place = generation.places.get(from as usize);
        Some(place.copied().unwrap_or(end))
    }

    /// Ends a generation; `false` where it is unknown.
    pub fn cancel(&mut self, id: GenerationId, now: Instant) -> bool {
        self.finish(id, End::Cancelled, now)
    }

    /// Displaces a generation until it is resumed; `false` where it is unknown or over.
    pub fn pause(&mut self, id: GenerationId) -> bool {
        let Some(phase) = self.generations.get(&id).map(|found| found.phase) else {
            return false;
        };
        match phase {
            Phase::Over(_) => return false,
            Phase::Paused => return true,
            Phase::Running => self.displace(id),
            Phase::Waiting => {}
        }
        if let Some(generation) = self.generations.get_mut(&id) {
            self.waiting.remove(&rank(generation));
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
            self.waiting.insert(rank(generation), id);
            self.paused -= 1;
        }
        !matches!(generation.phase, Phase::Over(_))
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
        for generation in self.generations.values_mut() {
            let record = &mut self.records[generation.record];
            record.output_tokens = generation.produced;
            if record.end == End::Open {
                record.end = End::Died;
            }
            generation.changed.notify_waiters();
        }
        self.generations.clear();
        self.running.clear();
        self.waiting.clear();
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

    /// Everything that was started since the first start.
    pub fn records(&self) -> Vec<RunRecord> {
        let mut records = self.records.clone();
        for generation in self.generations.values() {
            records[generation.record].output_tokens = generation.produced;
        }
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
            // A step of growth must fit as well, or it would be displaced at once.
            let needed = generation.tokens() + 1;
            let growth = self.running.len() as u64;
            if needed + self.used + growth > self.settings.capacity && !self.running.is_empty() {
                break;
            }
            self.waiting.remove(&rank);
            prefill += computed(generation, &mut self.cache, now);
            if generation.produced > 0 || !generation.lines.is_empty() {
                generation.push(StreamLine::Event(EngineEvent::Resumed));
            }
            generation.phase = Phase::Running;
            self.used += generation.tokens();
            self.running.insert(generation.arrival, id);
        }
        prefill
    }

    fn make_room(&mut self, now: Instant) {
        while self.used + self.running.len() as u64 > self.settings.capacity {
            let victim = self
                .running
                .iter()
                .min_by_key(|(arrival, id)| {
                    let priority = self.generations[id].spec.priority;
                    (priority, std::cmp::Reverse(**arrival))
                })
                .map(|(_, &id)| id);
            match victim {
                None => return,
                Some(id) if self.running.len() == 1 => {
                    self.finish(id, End::OutOfMemory, now);
                }
                Some(id) => self.displace(id),
            }
        }
    }

    fn displace(&mut self, id: GenerationId) {
        let Some(generation) = self.generations.get_mut(&id) else {
            return;
        };
        self.running.remove(&generation.arrival);
        self.used -= generation.tokens();
        generation.phase = Phase::Waiting;
        generation.push(StreamLine::Event(EngineEvent::Preempted));
        self.records[generation.record].preemptions += 1;
        self.waiting.insert(rank(generation), id);
        self.preemptions += 1;
    }

    fn produce_one(&mut self, id: GenerationId, now: Instant) {
        let Some(generation) = self.generations.get_mut(&id) else {
            return;
        };
        let index = generation.produced;
        generation.places.push(generation.lines.len());
        generation.push(StreamLine::Event(EngineEvent::Token {
            index,
            text: token_text(id, generation.digest, index),
        }));
        generation.produced += 1;
        self.used += 1;
        if generation.produced >= generation.target {
            self.finish(id, End::Done, now);
        }
    }

    fn finish(&mut self, id: GenerationId, end: End, now: Instant) -> bool {
        let Some(generation) = self.generations.get_mut(&id) else {
            return false;
        };
        match generation.phase {
            Phase::Over(_) => return true,
            Phase::Paused => self.paused -= 1,
            Phase::Waiting => {
                self.waiting.remove(&rank(generation));
            }
            Phase::Running => {
                self.running.remove(&generation.arrival);
                self.used -= generation.tokens();
            }
        }
        generation.phase = Phase::Over(now);
        let record = &mut self.records[generation.record];
        record.end = end;
        record.output_tokens = generation.produced;
        let line = last_line(generation, end);
        generation.push(line);
        true
    }

    // Linear in what is kept, once a step; a stand-in holds some hundreds.
    fn forget(&mut self, now: Instant) {
        let keep = self.settings.keep;
        self.generations
            .retain(|_, generation| match generation.phase {
                Phase::Over(end) => now.saturating_duration_since(end) < keep,
                _ => true,
            });
    }

    fn draw_length(&self, prompt: &str) -> u32 {
        if let Some(length) = exact_length(prompt) {
            return length.max(1);
        }
        let mut rng = fastrand::Rng::with_seed(self.settings.seed ^ fnv(prompt));
        let factor = (self.settings.spread * standard_normal(&mut rng)).exp();
        let drawn = f64::from(self.settings.median_output) * factor;
        (drawn as u32).clamp(1, self.settings.longest_output)
    }
}

fn new_cache(settings: &CoreSettings, incarnation: u64) -> PrefixCache {
    PrefixCache::new(
        settings.cache_blocks,
        settings.cache_lag,
        settings.cache_gaps,
        settings.seed ^ incarnation,
    )
}

fn rank(generation: &Generation) -> (u8, u64) {
    (u8::MAX - generation.spec.priority, generation.arrival)
}

/// The tokens to compute before a generation can go on: all but the cached ones.
fn computed(generation: &Generation, cache: &mut PrefixCache, now: Instant) -> u32 {
    let spec = &generation.spec;
    let digests = prefix_digests(spec.model.as_str(), spec.adapter.as_str(), &spec.prompt);
    let hits = cache.touch(&digests, now);
    let cached = hits * PREFIX_BLOCK / BYTES_PER_TOKEN;
    let tokens = generation.prompt_tokens + generation.produced;
    tokens.saturating_sub(u32::try_from(cached).unwrap_or(u32::MAX))
}

fn last_line(generation: &Generation, end: End) -> StreamLine {
    match end {
        End::Done => StreamLine::Event(EngineEvent::Done {
            prompt_tokens: generation.prompt_tokens,
            output_tokens: generation.produced,
            truncated: generation.truncated,
        }),
        End::Cancelled => StreamLine::Failed("cancelled".to_string()),
        End::OutOfMemory => StreamLine::Failed("out of memory".to_string()),
        End::Open | End::Died => StreamLine::Gone,
    }
}

fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX)
}

/// The number behind `len=` in a prompt.
fn exact_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once("len=")?;
    let end = rest
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

// By the Box-Muller transform.
fn standard_normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}
