//! Bearer keys and operators' tokens: kept only as digests, and compared in constant time.

use std::fmt;
use std::fs::File;
use std::io;
use std::io::Read;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::copy_type;

// 32 random bytes cannot be guessed, so a plain digest protects them; a slow password hash, which
// protects short secrets, would cost every request milliseconds.
const SECRET_BYTES: usize = 32;

copy_type! {
    /// The BLAKE3 digest of a secret. It tells nothing of the secret, and may be stored and shown.
    pub struct KeyDigest([u8; 32]);
}

/// A bearer key or token as its owner holds it. It is printed by [`Secret::reveal`] only.
#[derive(Clone, Deserialize, Serialize)]
pub struct Secret(String);

impl Secret {
    /// A new secret from the operating system's random source.
    pub fn random() -> io::Result<Self> {
        let mut bytes = [0; SECRET_BYTES];
        File::open("/dev/urandom")?.read_exact(&mut bytes)?;
        Ok(Secret(URL_SAFE_NO_PAD.encode(bytes)))
    }

    /// A secret as read from a file or a header, without the white space around it.
    pub fn new(text: &str) -> Self {
        Secret(text.trim().to_owned())
    }

    /// The digest under which the secret is stored.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(*blake3::hash(self.0.as_bytes()).as_bytes())
    }

    /// The text itself, to be handed to its owner once.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl KeyDigest {
    /// A digest with the given bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        KeyDigest(bytes)
    }

    /// Whether `secret` has this digest. Takes the same time for every secret of one length, so that
    /// answers' times do not tell how much of a guess was right.
    pub fn matches(&self, secret: &Secret) -> bool {
        self.0.ct_eq(&secret.digest().0).into()
    }

    /// The first 12 hexadecimal digits: enough to name a key among 100,000, too little to look it up.
    pub fn short(&self) -> String {
        self.to_string()[..12].to_owned()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
