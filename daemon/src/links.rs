//! An entry's links to agents: at most one to each, opened when it is first needed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use cicada_lib::crash_mark::CrashMark;
use cicada_lib::ids::Name;
use tokio::runtime::Handle;

use crate::evidence::Evidence;
use crate::link::Link;
use crate::link::LinkSettings;
use crate::link::LoadSink;

#[derive(Default)]
struct Slot {
    // Held while a link is opened: those who come meanwhile share that one attempt.
    link: tokio::sync::Mutex<Option<Arc<Link>>>,
}

/// The links.
pub(crate) struct Links {
    settings: LinkSettings,
    sink: Arc<dyn LoadSink>,
    evidence: Arc<Evidence>,
    runtime: Handle,
    addresses: Mutex<HashMap<Name, SocketAddr>>,
    slots: Mutex<HashMap<Name, Arc<Slot>>>,
}

impl Links {
    /// No links yet. Their tasks run on `runtime`.
    pub(crate) fn new(
        settings: LinkSettings,
        sink: Arc<dyn LoadSink>,
        evidence: Arc<Evidence>,
        runtime: Handle,
    ) -> Self {
        Links {
            settings,
            sink,
            evidence,
            runtime,
            addresses: Mutex::default(),
            slots: Mutex::default(),
        }
    }

    /// Takes the agents' addresses. A link to an agent that is no longer listed lives on: the list
    /// lags, and streams may run on it.
    pub(crate) fn set_addresses(&self, addresses: HashMap<Name, SocketAddr>) {
        *lock(&self.addresses) = addresses;
        lock(&self.slots).retain(|name, slot| {
            Arc::strong_count(slot) > 1 || lock(&self.addresses).contains_key(name)
        });
    }

    /// Passes on evidence over every open link.
    pub(crate) fn tell(&self, marks: &[CrashMark]) {
        let slots: Vec<Arc<Slot>> = lock(&self.slots).values().cloned().collect();
        for slot in slots {
            // A slot that is locked is about to open its link, and will be told of everything then.
            if let Ok(held) = slot.link.try_lock()
                && let Some(link) = held.as_ref()
            {
                link.tell(marks);
            }
        }
    }

    /// The link to an agent; `None` where it cannot be opened, so that nothing has been sent.
    pub(crate) async fn get(&self, agent: &Name) -> Option<Arc<Link>> {
        let slot = lock(&self.slots).entry(agent.clone()).or_default().clone();
        let mut held = slot.link.lock().await;
        if let Some(link) = held.as_ref().filter(|link| link.is_alive()) {
            return Some(link.clone());
        }
        let address = lock(&self.addresses).get(agent).copied()?;
        let settings = self.settings.clone();
        let sink = self.sink.clone();
        let opening = self
            .runtime
            .spawn(async move { Link::open(address, &settings, sink).await });
        match opening.await.ok()? {
            Ok(link) => {
                let known = self.evidence.all();
                if !known.is_empty() {
                    link.tell(&known);
                }
                *held = Some(link.clone());
                Some(link)
            }
            Err(err) => {
                tracing::info!(%agent, %address, %err, "link: cannot be opened");
                None
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
