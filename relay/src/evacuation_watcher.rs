//! Keeps a relay's view of the evacuated availability zones up to date.

use std::time::Duration;

use cicada_lib::revision::ERA_SETTLE_TIME;
use cicada_lib::zone_evacuation::EvacuatedZones;
use tokio::time::Instant;

use crate::directory_watcher::CallBackoff;
use crate::directory_watcher::DirectoryWatcher;

/// How long a watch on evacuations waits for a change. A watch on a dead connection is abandoned after this
/// and the timeout of the call, together less than the time within which an evacuation must take effect.
const EVACUATION_WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// State of the watch on evacuations.
#[derive(Default)]
struct EvacuationView {
    // The evacuations to watch from; `None` if they must be listed first.
    known: Option<EvacuatedZones>,
    // When they must be listed again, because the list may have been incomplete.
    relist_at: Option<Instant>,
}

impl EvacuationView {
    /// The timeout of the next watch.
    fn watch_timeout(&self) -> Duration {
        let remaining = self
            .relist_at
            .map(|relist_at| relist_at.saturating_duration_since(Instant::now()));
        remaining.map_or(EVACUATION_WATCH_TIMEOUT, |remaining| {
            remaining.min(EVACUATION_WATCH_TIMEOUT)
        })
    }
}

impl DirectoryWatcher {
    pub(crate) async fn watch_evacuations(&self) {
        let mut backoff = CallBackoff::new();
        let mut view = EvacuationView::default();
        loop {
            if self.defer_to_watching_relay().await {
                view.known = None;
                continue;
            }
            let outcome = match &view.known {
                None => self.directory.evacuations().await,
                Some(before) => tokio::select! {
                    outcome = self.directory.next_evacuations(before, view.watch_timeout()) => outcome,
                    () = self.wait_for_reset(before.revision), if self.relay.evacuated().is_known() => {
                        view.known = None;
                        continue;
                    }
                },
            };
            match outcome {
                Ok(evacuated) => {
                    backoff.reset();
                    self.apply_evacuations(&mut view, evacuated);
                }
                Err(error) => {
                    tracing::info!(%error, "directory: cannot read evacuations");
                    view.known = None;
                    backoff.wait_after_failure(&self.relay).await;
                }
            }
        }
    }

    fn apply_evacuations(&self, view: &mut EvacuationView, evacuated: EvacuatedZones) {
        self.relay.observe_revision(evacuated.revision);
        let whole = match &view.known {
            None => self.relay.is_settled(),
            Some(before) => before.revision.whole,
        };
        if view.known.is_none() && !whole {
            view.relist_at = Some(Instant::now() + ERA_SETTLE_TIME);
        }
        let evacuated = EvacuatedZones {
            revision: evacuated.revision.with_whole(whole),
            ..evacuated
        };
        self.relay.apply_directory_evacuations(&evacuated);
        view.known = Some(evacuated);
        if view
            .relist_at
            .is_some_and(|relist_at| relist_at <= Instant::now())
        {
            *view = EvacuationView::default();
        }
    }
}
