//! Load probes: queries to scouts when a relay is about to place a request. See `cicada_lib::placement`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::peer_messages::LoadProbeReply;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::lock::lock;

/// How long to wait for answers in addition to one and a half round trips. A scout on a slow shared processor
/// needs a little longer, while one whose host is gone delays every request that probes it.
const PROCESSING_ALLOWANCE: Duration = Duration::from_millis(12);

/// Capacity of the queue of probes to send.
const PROBE_QUEUE: usize = 256;

/// For each attempt with a pending probe, where to send the answers.
type PendingProbes = Mutex<HashMap<Name, mpsc::Sender<SocketAddr>>>;

/// The pending load probes.
pub(crate) struct LoadProbes {
    pending: PendingProbes,
    queue: mpsc::Sender<Vec<LoadProbe>>,
}

impl LoadProbes {
    /// Creates an empty set, and the queue from which probes are sent.
    pub(crate) fn new() -> (Self, mpsc::Receiver<Vec<LoadProbe>>) {
        let (queue, queued) = mpsc::channel(PROBE_QUEUE);
        let pending = Mutex::default();
        (LoadProbes { pending, queue }, queued)
    }

    /// Probes the scouts of the engines and returns the engines whose scouts answered in time. `trip` is the
    /// round trip to the farthest of them.
    pub(crate) async fn probe(&self, probes: Vec<LoadProbe>, trip: Duration) -> Vec<SocketAddr> {
        let Some(id) = probes.first().map(|probe| probe.id.clone()) else {
            return Vec::new();
        };
        let sent = probes.len();
        let (answers_tx, mut answers) = mpsc::channel(sent);
        let _pending = PendingProbe::new(&self.pending, id, answers_tx);
        let mut answered = Vec::with_capacity(sent);
        if self.queue.try_send(probes).is_ok() {
            let deadline = Instant::now() + PROCESSING_ALLOWANCE + trip.mul_f64(1.5);
            while answered.len() < sent {
                let Ok(Some(engine)) = timeout_at(deadline, answers.recv()).await else {
                    break;
                };
                answered.push(engine);
            }
        }
        answered
    }

    /// Records a scout's answer, after the load in it has been applied.
    pub(crate) fn record_answer(&self, answer: &LoadProbeReply) {
        let pending = lock(&self.pending);
        let Some(answers) = pending.get(&answer.id) else {
            return;
        };
        if answers.try_send(answer.report.engine.address).is_err() {
            tracing::debug!(id = %answer.id, "placement: a scout answered twice");
        }
    }
}

/// Removes a pending probe when dropped, also if the caller goes away while answers are awaited.
struct PendingProbe<'a> {
    pending: &'a PendingProbes,
    id: Name,
}

impl<'a> PendingProbe<'a> {
    fn new(pending: &'a PendingProbes, id: Name, answers: mpsc::Sender<SocketAddr>) -> Self {
        lock(pending).insert(id.clone(), answers);
        PendingProbe { pending, id }
    }
}

impl Drop for PendingProbe<'_> {
    fn drop(&mut self) {
        lock(self.pending).remove(&self.id);
    }
}
