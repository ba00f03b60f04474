//! The tokens of one generation, kept by the agent so that a stream can go on at any index.
//!
//! Load pattern: callers and entries that lose a connection in mid-stream. Without it a lost
//! connection would lose tokens or ask for a second generation. A generation's text is bounded by
//! its limit on tokens, and the number of generations by the agent's records, so that slow readers
//! cost no more memory than fast ones.

use crate::ids::GenerationId;

/// What became of a token that was added.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Added {
    /// It is the next one.
    Next,
    /// It was there before, and is dropped.
    Duplicate,
    /// Tokens before it are missing, and it is dropped: the stream must be attached anew.
    Gap,
}

/// The tokens of one generation in order, without gaps.
#[derive(Clone, Debug)]
pub struct Transcript {
    generation: GenerationId,
    // The index of the first token kept; above 0 only where an agent took a generation over.
    first: u32,
    text: String,
    // `ends[i]` is where token `first + i` ends in `text`; never decreasing.
    ends: Vec<usize>,
}

impl Transcript {
    /// An empty transcript of a generation whose next token has the index `first`.
    pub fn new(generation: GenerationId, first: u32) -> Self {
        Transcript {
            generation,
            first,
            text: String::new(),
            ends: Vec::new(),
        }
    }

    /// The generation.
    pub fn generation(&self) -> GenerationId {
        self.generation
    }

    /// The index of the first token kept.
    pub fn first(&self) -> u32 {
        self.first
    }

    /// The index that the next token has.
    pub fn next(&self) -> u32 {
        self.first + self.ends.len() as u32
    }

    /// Adds a token if it is the next one.
    pub fn add(&mut self, index: u32, text: &str) -> Added {
        match index.cmp(&self.next()) {
            std::cmp::Ordering::Less => Added::Duplicate,
            std::cmp::Ordering::Greater => Added::Gap,
            std::cmp::Ordering::Equal => {
                self.text.push_str(text);
                self.ends.push(self.text.len());
                Added::Next
            }
        }
    }

    /// At most `count` tokens from the index `next` on; empty where there are none or they are
    /// before the first one kept.
    pub fn from(&self, next: u32, count: u32) -> Vec<String> {
        let Some(start) = next.checked_sub(self.first) else {
            return Vec::new();
        };
        let start = start as usize;
        let end = self.ends.len().min(start.saturating_add(count as usize));
        (start..end)
            .map(|place| self.token(place).to_string())
            .collect()
    }

    fn token(&self, place: usize) -> &str {
        let begin = match place {
            0 => 0,
            _ => self.ends[place - 1],
        };
        &self.text[begin..self.ends[place]]
    }
}
