//! The identifier of a stream's event: all that another entry needs to go on after it.
//!
//! Hosts keep nothing, and the entry that began a stream may be gone, so the identifier itself says
//! where the generation runs. Its proof keeps a caller from reading streams that are not its own.

use cicada_lib::handshake::PeerKey;
use cicada_lib::ids::Attempt;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use cicada_lib::ids::RequestId;
use thiserror::Error;

/// Why an identifier is refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error(
    "the Last-Event-ID is none of this workspace's; send back the id of the last event as it came"
)]
pub(crate) struct EventIdError;

/// The result of reading an identifier.
pub(crate) type Result<T> = std::result::Result<T, EventIdError>;

/// Where a stream stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Position {
    /// The request.
    pub(crate) request: RequestId,
    /// The try that runs.
    pub(crate) attempt: Attempt,
    /// The agent beside the engine.
    pub(crate) agent: Name,
    /// The generation.
    pub(crate) generation: GenerationId,
    /// The index of the next token.
    pub(crate) next: u32,
}

const FIELDS: usize = 6;
const PROOF_CHARS: usize = 32;

impl Position {
    /// The identifier, proved for the workspace.
    pub(crate) fn encode(&self, key: &PeerKey, workspace: &Name) -> String {
        let body = format!(
            "{}:{}:{}:{}:{}",
            self.request, self.attempt.0, self.agent, self.generation, self.next
        );
        let proof = proof(key, workspace, &body);
        format!("{body}:{proof}")
    }

    /// Reads an identifier that was made for the workspace.
    pub(crate) fn decode(text: &str, key: &PeerKey, workspace: &Name) -> Result<Self> {
        let (body, given) = text.rsplit_once(':').ok_or(EventIdError)?;
        let expected = proof(key, workspace, body);
        if !bool::from(subtle::ConstantTimeEq::ct_eq(
            expected.as_bytes(),
            given.as_bytes(),
        )) {
            return Err(EventIdError);
        }
        let fields: Vec<&str> = body.split(':').collect();
        if fields.len() != FIELDS - 1 {
            return Err(EventIdError);
        }
        let hex = |text: &str| u128::from_str_radix(text, 16).map_err(|_| EventIdError);
        let number = |text: &str| text.parse::<u32>().map_err(|_| EventIdError);
        Ok(Position {
            request: RequestId(hex(fields[0])?),
            attempt: Attempt(number(fields[1])?),
            agent: Name::new(fields[2]),
            generation: GenerationId(u64::try_from(hex(fields[3])?).map_err(|_| EventIdError)?),
            next: number(fields[4])?,
        })
    }
}

fn proof(key: &PeerKey, workspace: &Name, body: &str) -> String {
    let length = [u8::try_from(workspace.as_str().len()).unwrap_or(u8::MAX)];
    let workspace = workspace.as_str().as_bytes();
    let bytes = key.proof(&[b"event", &length, workspace, body.as_bytes()]);
    let mut text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    text.truncate(PROOF_CHARS);
    text
}
