//! The check of an answer from a stand-in engine, token by token as it comes.
//!
//! A token is `gggg:dddd:i `: four hex digits of the generation's identifier, four of the prompt's
//! digest, and its index. From these alone it shows whether an answer is whole, in order, from one
//! generation, and the caller's own.

use cicada_lib::engine_http::FNV_START;
use cicada_lib::engine_http::fnv1a;
use thiserror::Error;

/// A promise that an answer breaks.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum Broken {
    /// A part of the text is no token.
    #[error("text that is no token: {0:?}")]
    Malformed(String),
    /// A token answers another request.
    #[error("token {0} answers another prompt")]
    Crossed(u32),
    /// Tokens of two generations in one answer.
    #[error("token {0} comes from another generation")]
    Spliced(u32),
    /// A token came again.
    #[error("token {found} came again at place {place}")]
    Doubled {
        /// The index that was due.
        place: u32,
        /// The index that came.
        found: u32,
    },
    /// A token is missing.
    #[error("token {found} came at place {place}")]
    Lost {
        /// The index that was due.
        place: u32,
        /// The index that came.
        found: u32,
    },
    /// The answer ended as whole and has fewer or more tokens than it should.
    #[error("the answer ended with {found} tokens of {expected}")]
    Incomplete {
        /// Tokens that the end told of, or that the prompt asked for.
        expected: u32,
        /// Tokens that came.
        found: u32,
    },
}

/// The result of a check.
pub type Result<T> = std::result::Result<T, Broken>;

/// Checks one answer.
#[derive(Debug)]
pub struct Checker {
    digest: String,
    // The first token's generation.
    generation: Option<String>,
    next: u32,
    // The beginning of a token whose end has not come.
    partial: String,
}

impl Checker {
    /// The check of the answer to `prompt`.
    pub fn new(prompt: &str) -> Self {
        Checker {
            digest: format!("{:04x}", prompt_digest(prompt)),
            generation: None,
            next: 0,
            partial: String::new(),
        }
    }

    /// Takes in the next text; the number of tokens that it completed.
    pub fn feed(&mut self, text: &str) -> Result<u32> {
        self.partial.push_str(text);
        let before = self.next;
        while let Some(end) = self.partial.find(' ') {
            let rest = self.partial.split_off(end + 1);
            let token = std::mem::replace(&mut self.partial, rest);
            self.take(token.trim_end())?;
        }
        Ok(self.next - before)
    }

    /// Tokens so far.
    pub fn tokens(&self) -> u32 {
        self.next
    }

    /// The answer ended as whole, with `expected` tokens if that is known.
    pub fn end(&self, expected: Option<u32>) -> Result<()> {
        if !self.partial.is_empty() {
            return Err(Broken::Malformed(self.partial.clone()));
        }
        match expected {
            Some(expected) if expected != self.next => Err(Broken::Incomplete {
                expected,
                found: self.next,
            }),
            _ => Ok(()),
        }
    }

    fn take(&mut self, token: &str) -> Result<()> {
        let malformed = || Broken::Malformed(token.to_string());
        let mut parts = token.splitn(3, ':');
        let generation = parts.next().ok_or_else(malformed)?;
        let digest = parts.next().ok_or_else(malformed)?;
        let index = parts.next().ok_or_else(malformed)?;
        let found: u32 = index.parse().map_err(|_| malformed())?;
        let place = self.next;
        if digest != self.digest {
            return Err(Broken::Crossed(place));
        }
        let first = self
            .generation
            .get_or_insert_with(|| generation.to_string());
        if first != generation {
            return Err(Broken::Spliced(place));
        }
        if found < place {
            return Err(Broken::Doubled { place, found });
        }
        if found > place {
            return Err(Broken::Lost { place, found });
        }
        self.next += 1;
        Ok(())
    }
}

/// The digest of a prompt as the stand-in engine writes it: 64-bit FNV-1a, folded to 16 bits.
pub fn prompt_digest(prompt: &str) -> u16 {
    let hash = fnv1a(FNV_START, prompt.as_bytes());
    (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16
}
