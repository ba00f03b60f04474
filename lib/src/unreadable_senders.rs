//! Processes whose messages cannot be read here, most likely since they run another version.
//!
//! Load pattern: a rolling replacement changes the messages between processes. While it lasts, each half of the fleet hears
//! nothing of the other, so that limits, evidence and trials are shared among fewer processes, and thousands of datagrams
//! are dropped. Operators need to see who is concerned without a log line for each datagram.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Time;

/// How long after its last message a process counts as present.
const PRESENT_TIME: Duration = Duration::from_secs(30);

/// Interval between two log lines about the same process.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of processes that are remembered. Anyone may send datagrams.
const MAX_SENDERS: usize = 1_024;

/// The processes whose messages one process could not read lately.
#[derive(Debug, Default)]
pub struct UnreadableSenders {
    // At most `MAX_SENDERS`.
    senders: HashMap<SocketAddr, Sender>,
}

#[derive(Debug)]
struct Sender {
    heard_at: Time,
    logged_at: Time,
}

impl UnreadableSenders {
    /// Records a message that cannot be read. Returns whether it is to be logged.
    pub fn record(&mut self, now: Time, from: SocketAddr) -> bool {
        if let Some(sender) = self.senders.get_mut(&from) {
            sender.heard_at = now;
            let is_due = now.since(sender.logged_at) >= LOG_INTERVAL;
            if is_due {
                sender.logged_at = now;
            }
            return is_due;
        }
        self.senders
            .retain(|_, sender| now.since(sender.heard_at) < LOG_INTERVAL);
        let has_room = self.senders.len() < MAX_SENDERS;
        if has_room {
            let (heard_at, logged_at) = (now, now);
            self.senders.insert(
                from,
                Sender {
                    heard_at,
                    logged_at,
                },
            );
        }
        has_room
    }

    /// The processes that are present, in the order of their addresses.
    pub fn present(&self, now: Time) -> Vec<SocketAddr> {
        let senders = self.senders.iter();
        let present = senders.filter(|(_, sender)| now.since(sender.heard_at) < PRESENT_TIME);
        let mut present: Vec<SocketAddr> = present.map(|(from, _)| *from).collect();
        present.sort();
        present
    }
}
