//! Names and numbers by which things are told apart.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::copy_type;

/// A shared immutable name, of a workspace, a host, a model and so on.
///
/// Cloning copies a pointer. It never changes once made.
#[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Name(Arc<str>);

impl Name {
    /// A name with the given text.
    pub fn new(text: impl AsRef<str>) -> Self {
        Name(Arc::from(text.as_ref()))
    }

    /// The text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Default for Name {
    fn default() -> Self {
        Name::new("")
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Name::new(text)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

copy_type! {
    /// One caller's request, through every retry and every process. Random, 128 bits.
    pub struct RequestId(pub u128);

    /// The number of a try to run a request, from 1. A larger number supersedes a smaller one.
    pub struct Attempt(pub u32);

    /// One generation on one engine, chosen at random by the agent that starts it. Every token names
    /// it, so that no token of another generation can be taken for one of this.
    pub struct GenerationId(pub u64);

    /// The version of an object in the platform's store. It grows with every change of that object.
    #[derive(Default)]
    pub struct Version(pub u64);
}

impl RequestId {
    /// A new identifier from the thread's random generator.
    pub fn random() -> Self {
        RequestId(fastrand::u128(..))
    }
}

impl GenerationId {
    /// A new identifier from the thread's random generator.
    pub fn random() -> Self {
        GenerationId(fastrand::u64(1..))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
