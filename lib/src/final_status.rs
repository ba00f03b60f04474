//! Statuses of final answers.
//!
//! Load pattern: a faulty server answers with an informational status where a final one is due, with one that asks to
//! switch protocols, or with one beyond the protocol's range. Passed on, it leaves the caller waiting for a final answer
//! that never comes.

use http::StatusCode;

/// Statuses below are informational and precede a final answer. This side asks for no switch of protocols, so that 101
/// ends no exchange either.
const FIRST_FINAL: StatusCode = StatusCode::OK;

/// The protocol gives no meaning to statuses from here on.
const FIRST_UNDEFINED: u16 = 600;

/// Whether an answer with this status is a final one. Any other one is no answer, and tells nothing of whether the
/// request ran.
pub fn is_final(status: StatusCode) -> bool {
    status >= FIRST_FINAL && status.as_u16() < FIRST_UNDEFINED
}
