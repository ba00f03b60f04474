//! Counts of statements that were rejected as unreadable or out of bounds.
//!
//! Load pattern: an odd entry is read again with each list, and an engine's odd report many times per second. Each is
//! counted, and of each kind the first ones are logged, then fewer and fewer.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::copy_type;

/// Rejections of a kind that are all logged. Of the following ones those are whose number is a power of two.
const LOGGED: u64 = 16;

copy_type! {
    /// A kind of statement.
    pub enum Statement {
        /// The operator's configuration.
        Config,
        /// A server's entry in the directory.
        Server,
        /// A relay's entry in the directory.
        Relay,
        /// Another object of the directory, or one that has no name.
        Object,
        /// An engine's report, or what it states when a run is moved.
        Report,
        /// A figure in the head of a request or of an answer.
        Header,
    }
}

impl Statement {
    /// All kinds.
    pub const ALL: [Statement; 6] = [
        Statement::Config,
        Statement::Server,
        Statement::Relay,
        Statement::Object,
        Statement::Report,
        Statement::Header,
    ];

    /// The name of the kind, for counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Statement::Config => "config",
            Statement::Server => "server",
            Statement::Relay => "relay",
            Statement::Object => "object",
            Statement::Report => "report",
            Statement::Header => "header",
        }
    }
}

/// The rejections of one process since its start.
#[derive(Debug, Default)]
pub struct Rejections {
    counts: [AtomicU64; Statement::ALL.len()],
}

impl Rejections {
    /// Creates counts of zero.
    pub fn new() -> Self {
        Rejections::default()
    }

    /// Counts a rejection; returns whether it is to be logged.
    pub fn record(&self, statement: Statement) -> bool {
        let count = 1 + self.counts[statement as usize].fetch_add(1, Ordering::Relaxed);
        count <= LOGGED || count.is_power_of_two()
    }

    /// The number of rejections of a kind.
    pub fn count(&self, statement: Statement) -> u64 {
        self.counts[statement as usize].load(Ordering::Relaxed)
    }
}
