//! A scout's questions to the holders of streams whether it may stop their runs.

use std::sync::Mutex;
use std::time::Duration;

use cicada_lib::peer_messages::StopReply;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::lock::lock;

/// Delays until the question is asked again, and at the end given up. Datagrams are lost now and then.
pub(crate) const ASK_DELAYS: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(90),
    Duration::from_millis(150),
];

/// The question that is open; runs are moved one at a time.
#[derive(Default)]
pub(crate) struct StopQueries {
    open: Mutex<Option<Query>>,
    replied: Notify,
}

struct Query {
    number: u64,
    permitted: Option<bool>,
}

impl StopQueries {
    /// Opens a question, and returns its number.
    pub(crate) fn open(&self) -> u64 {
        let number = fastrand::u64(1..);
        *lock(&self.open) = Some(Query {
            number,
            permitted: None,
        });
        number
    }

    /// Records a reply, unless it is to another question.
    pub(crate) fn record(&self, reply: &StopReply) {
        if let Some(query) = lock(&self.open).as_mut()
            && query.number == reply.number
        {
            query.permitted = Some(reply.permitted);
            self.replied.notify_one();
        }
    }

    /// Waits for the reply for at most this long.
    pub(crate) async fn reply(&self, wait: Duration) -> Option<bool> {
        // A wake-up that is left from a former question is followed by another look.
        let replied = async {
            loop {
                let permitted = lock(&self.open).as_ref().and_then(|query| query.permitted);
                match permitted {
                    Some(permitted) => return permitted,
                    None => self.replied.notified().await,
                }
            }
        };
        timeout(wait, replied).await.ok()
    }
}
