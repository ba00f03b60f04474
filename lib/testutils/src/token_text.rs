//! The text of a stand-in's tokens, and the check of a whole answer.
//!
//! Token `i` of generation `g` for a prompt with digest `d` is `gggg:dddd:i `: the low 16 bits of
//! the generation's identifier and the prompt's digest in hex, and the index. So a caller can see
//! from the text alone that an answer is whole, in order, its own, and from one generation.

use cicada_lib::engine_http::FNV_START;
use cicada_lib::engine_http::fnv1a;
use cicada_lib::ids::GenerationId;
use thiserror::Error;

/// What is wrong with an answer.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum TextError {
    /// A part is not a token of a stand-in.
    #[error("part {0} is no token: {1:?}")]
    Malformed(usize, String),
    /// A token belongs to another prompt.
    #[error("token {0} answers another prompt")]
    OtherPrompt(usize),
    /// A token belongs to another generation than the first.
    #[error("token {0} comes from another generation")]
    OtherGeneration(usize),
    /// A token is missing, doubled or out of order.
    #[error("place {place} holds token {found}")]
    OutOfOrder {
        /// The place in the answer, from 0.
        place: usize,
        /// The index that the token carries.
        found: usize,
    },
}

/// The digest of a prompt: its 64-bit FNV-1a hash, folded to 16 bits.
pub fn prompt_digest(prompt: &str) -> u16 {
    let hash = fnv1a(FNV_START, prompt.as_bytes());
    (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16
}

/// The text of token `index`.
pub fn token_text(id: GenerationId, digest: u16, index: u32) -> String {
    format!("{:04x}:{digest:04x}:{index} ", id.0 & 0xffff)
}

/// The number of tokens in `text`, if it begins an answer to `prompt`.
pub fn check_text(prompt: &str, text: &str) -> Result<usize, TextError> {
    let digest = format!("{:04x}", prompt_digest(prompt));
    let mut first = None;
    let mut count = 0;
    for (place, token) in text.split_terminator(' ').enumerate() {
        let malformed = || TextError::Malformed(place, token.to_string());
        let mut parts = token.splitn(3, ':');
        let generation = parts.next().ok_or_else(malformed)?;
        let prompt = parts.next().ok_or_else(malformed)?;
        let index = parts.next().ok_or_else(malformed)?;
        let found = index.parse().map_err(|_| malformed())?;
        if prompt != digest {
            return Err(TextError::OtherPrompt(place));
        }
        if *first.get_or_insert(generation) != generation {
            return Err(TextError::OtherGeneration(place));
        }
        if found != place {
            return Err(TextError::OutOfOrder { place, found });
        }
        count += 1;
    }
    Ok(count)
}
