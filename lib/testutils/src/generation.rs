//! One generation of a stand-in engine: its length, its lines so far, and its place in the record.

use std::sync::Arc;

use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::engine_http::StreamLine;
use cicada_lib::ids::GenerationId;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::token_text::prompt_digest;
use crate::token_text::token_text;

/// The bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// How a generation ended.
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
    /// The number of this start; the numbers grow from start to start.
    pub number: u64,
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

/// Where a generation is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    Waiting,
    Running,
    /// Displaced by order: waits for the order to resume.
    Paused,
    Over,
}

/// The order in which the waiting join the batch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    // The difference to the largest priority, so that the largest comes first.
    below_top: u8,
    arrival: u64,
}

/// A generation in the engine.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) spec: GenerationSpec,
    pub(crate) phase: Phase,
    /// The order of arrival: among equals the latest is displaced first.
    pub(crate) arrival: u64,
    /// Tokens produced so far.
    pub(crate) produced: u32,
    /// How often it was displaced.
    pub(crate) preemptions: u32,
    digest: u16,
    prompt_tokens: u32,
    // The length at which it ends, not above the limit of its request.
    target: u32,
    truncated: bool,
    end: End,
    // All lines so far; streams read on from where they are.
    lines: Vec<StreamLine>,
    // The place in `lines` of each token.
    places: Vec<usize>,
    changed: Arc<Notify>,
}

impl Generation {
    /// A generation that would produce `length` tokens.
    pub(crate) fn new(spec: GenerationSpec, arrival: u64, length: u32) -> Self {
        Generation {
            phase: Phase::Waiting,
            arrival,
            produced: 0,
            preemptions: 0,
            digest: prompt_digest(&spec.prompt),
            prompt_tokens: prompt_tokens(&spec.prompt),
            target: length.min(spec.max_tokens.max(1)),
            truncated: length > spec.max_tokens,
            end: End::Open,
            lines: Vec::new(),
            places: Vec::new(),
            changed: Arc::new(Notify::new()),
            spec,
        }
    }

    /// Its tokens, of prompt and output together.
    pub(crate) fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.produced)
    }

    /// Its place among the waiting.
    pub(crate) fn rank(&self) -> Rank {
        Rank {
            below_top: u8::MAX - self.spec.priority,
            arrival: self.arrival,
        }
    }

    /// It joins the batch.
    pub(crate) fn run(&mut self) {
        self.phase = Phase::Running;
        if self.preemptions > 0 {
            self.push(StreamLine::Event(EngineEvent::Resumed));
        }
    }

    /// It leaves the batch, and waits.
    pub(crate) fn displace(&mut self) {
        self.phase = Phase::Waiting;
        self.preemptions += 1;
        self.push(StreamLine::Event(EngineEvent::Preempted));
    }

    /// It produces a token; whether that was its last.
    pub(crate) fn produce(&mut self) -> bool {
        let index = self.produced;
        self.places.push(self.lines.len());
        self.push(StreamLine::Event(EngineEvent::Token {
            index,
            text: token_text(self.spec.id, self.digest, index),
        }));
        self.produced += 1;
        self.produced >= self.target
    }

    /// It is over.
    pub(crate) fn finish(&mut self, end: End) {
        self.phase = Phase::Over;
        self.end = end;
        let line = self.last_line();
        self.push(line);
    }

    /// The engine dies under it; its streams learn nothing but that their connection is cut.
    pub(crate) fn die(&mut self) {
        if self.end == End::Open {
            self.end = End::Died;
        }
        self.changed.notify_waiters();
    }

    /// The lines from `place`.
    pub(crate) fn page(&self, place: usize) -> Page {
        Page {
            lines: self.lines.get(place..).unwrap_or_default().to_vec(),
            over: self.phase == Phase::Over,
            changed: self.changed.clone(),
        }
    }

    /// The place of token `from`, or of what follows the last token where it is still to come.
    pub(crate) fn place(&self, from: u32) -> usize {
        let end = match self.phase {
            // So that whoever asks past the end still gets the last line.
            Phase::Over => self.lines.len().saturating_sub(1),
            _ => self.lines.len(),
        };
        self.places.get(from as usize).copied().unwrap_or(end)
    }

    /// Its entry in the record.
    pub(crate) fn record(&self, incarnation: u64) -> RunRecord {
        RunRecord {
            id: self.spec.id,
            number: self.arrival,
            incarnation,
            digest: self.digest,
            end: self.end,
            output_tokens: self.produced,
            preemptions: self.preemptions,
        }
    }

    fn push(&mut self, line: StreamLine) {
        self.lines.push(line);
        self.changed.notify_waiters();
    }

    fn last_line(&self) -> StreamLine {
        match self.end {
            End::Done => StreamLine::Event(EngineEvent::Done {
                prompt_tokens: self.prompt_tokens,
                output_tokens: self.produced,
                truncated: self.truncated,
            }),
            End::Cancelled => StreamLine::Failed("cancelled".to_string()),
            End::OutOfMemory => StreamLine::Failed("out of memory".to_string()),
            End::Open | End::Died => StreamLine::Gone,
        }
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

fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX)
}
