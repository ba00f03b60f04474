//! Questions to scouts at the moment of a choice, and their answers. See `cicada_lib::placement`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_words::LoadAnswer;
use cicada_lib::peer_words::LoadAsk;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::lock::lock;

/// How long answers are awaited beyond one and a half round trips: a scout that shares a slow processor takes some
/// more, and one whose host is gone would hold up every request that draws it.
const WAIT: Duration = Duration::from_millis(12);

/// Questions that wait to be sent.
const WAITING_ASKS: usize = 256;

/// By attempt: where the answers go.
type Askers = Mutex<HashMap<Name, mpsc::Sender<SocketAddr>>>;

/// The questions that are open.
pub(crate) struct LoadAsks {
    open: Askers,
    asks: mpsc::Sender<Vec<LoadAsk>>,
}

impl LoadAsks {
    /// No questions, and those that will have to be sent.
    pub(crate) fn new() -> (Self, mpsc::Receiver<Vec<LoadAsk>>) {
        let (asks, pending) = mpsc::channel(WAITING_ASKS);
        let open = Mutex::default();
        (LoadAsks { open, asks }, pending)
    }

    /// Asks the scouts of the engines, the farthest of which is a round trip away; the engines whose scouts have
    /// answered in time.
    pub(crate) async fn ask(&self, asks: Vec<LoadAsk>, trip: Duration) -> Vec<SocketAddr> {
        let Some(id) = asks.first().map(|ask| ask.id.clone()) else {
            return Vec::new();
        };
        let asked = asks.len();
        let (answers_in, mut answers) = mpsc::channel(asked);
        let _open = OpenAsk::new(&self.open, id, answers_in);
        let mut answered = Vec::with_capacity(asked);
        if self.asks.try_send(asks).is_ok() {
            let until = Instant::now() + WAIT + trip.mul_f64(1.5);
            while answered.len() < asked {
                let Ok(Some(engine)) = timeout_at(until, answers.recv()).await else {
                    break;
                };
                answered.push(engine);
            }
        }
        answered
    }

    /// A scout has answered, and its engine's load is noted.
    pub(crate) fn answered(&self, answer: &LoadAnswer) {
        let open = lock(&self.open);
        let Some(asker) = open.get(&answer.id) else {
            return;
        };
        if asker.try_send(answer.report.here.address).is_err() {
            tracing::debug!(id = %answer.id, "placement: a scout answered twice");
        }
    }
}

/// An open question, until it is dropped: also where the caller goes away while answers are awaited.
struct OpenAsk<'a> {
    open: &'a Askers,
    id: Name,
}

impl<'a> OpenAsk<'a> {
    fn new(open: &'a Askers, id: Name, answers: mpsc::Sender<SocketAddr>) -> Self {
        lock(open).insert(id.clone(), answers);
        OpenAsk { open, id }
    }
}

impl Drop for OpenAsk<'_> {
    fn drop(&mut self) {
        lock(self.open).remove(&self.id);
    }
}
