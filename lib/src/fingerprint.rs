//! Fingerprints of what a backend server may crash under: whole requests and shared parts of their prompts.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::copy_type;
use crate::ids::Name;

copy_type! {
    /// A hash of all that makes a request the same request, equal for identical requests.
    pub struct Fingerprint(pub u128);
}

/// The upper 32 bits of all fingerprints of prompt parts, "part" in ASCII.
const PART_TAG: u128 = 0x7061_7274;

impl Fingerprint {
    /// Computes the fingerprint of a generation.
    pub fn new(service: &Name, model: &Name, prompt: &[u8]) -> Self {
        Fingerprint::of_parts(&[
            service.as_str().as_bytes(),
            model.as_str().as_bytes(),
            prompt,
        ])
    }

    /// Computes the fingerprint of a service.
    pub fn of_service(service: &Name) -> Self {
        Fingerprint::of_parts(&[service.as_str().as_bytes()])
    }

    /// Computes the fingerprint of a request from all parts that make it the same request.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&digest.as_bytes()[..16]);
        Fingerprint(u128::from_le_bytes(truncated))
    }

    /// Computes the fingerprint of a prompt part at a service. Its lower 64 bits are the part's identifier, so that operators
    /// recognize it.
    pub fn of_prompt_part(service: &Name, id: u64) -> Self {
        let Fingerprint(scope) = Fingerprint::of_service(service);
        Fingerprint(PART_TAG << 96 | (scope & 0xffff_ffff) << 64 | u128::from(id))
    }

    /// Whether this is a prompt part.
    pub fn is_prompt_part(self) -> bool {
        self.0 >> 96 == PART_TAG
    }

    /// Returns the affinity hash by which copies of a suspect are routed to the same agent.
    pub fn affinity(self) -> u64 {
        self.0 as u64
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Copy, Debug, Error)]
#[error("is no fingerprint; copy the 32 hexadecimal digits from a log line or status page")]
pub struct FingerprintError;

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16);
        number
            .ok()
            .filter(|_| is_hex)
            .map(Fingerprint)
            .ok_or(FingerprintError)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
