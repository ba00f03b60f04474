//! Keeps an entry's view of the evacuated availability zones up to date.

use std::time::Duration;

use cicada_lib::revision::RETURN;
use cicada_lib::zone_evacuation::EvacuatedZones;
use tokio::time::Instant;

use crate::keeper::Keeper;
use crate::keeper::Tries;

/// How long a watch on evacuations waits. One whose connection fell silent is given up after this and the call's own
/// time, together less than an evacuation may take to hold.
const EVACUATION_WATCH: Duration = Duration::from_secs(3);

/// How far the evacuations are known from the directory.
#[derive(Default)]
struct EvacuationView {
    // `None` where they are to be listed.
    known: Option<EvacuatedZones>,
    // When they are to be listed again, since some may have been lost.
    again: Option<Instant>,
}

impl EvacuationView {
    /// How long the next watch waits.
    fn wait(&self) -> Duration {
        let again = self
            .again
            .map(|again| again.saturating_duration_since(Instant::now()));
        again.map_or(EVACUATION_WATCH, |again| again.min(EVACUATION_WATCH))
    }
}

impl Keeper {
    pub(crate) async fn follow_evacuations(&self) {
        let mut tries = Tries::new();
        let mut view = EvacuationView::default();
        loop {
            if self.relay.evacuated().is_known() && self.is_told().await {
                view.known = None;
                continue;
            }
            let outcome = match &view.known {
                None => self.directory.evacuations().await,
                Some(before) => tokio::select! {
                    outcome = self.directory.next_evacuations(before, view.wait()) => outcome,
                    () = self.until_reset(before.revision), if self.relay.evacuated().is_known() => {
                        view.known = None;
                        continue;
                    }
                },
            };
            match outcome {
                Ok(evacuated) => {
                    tries.went_well();
                    self.take_evacuated(&mut view, evacuated);
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no news of evacuations");
                    view.known = None;
                    tries.failed(&self.relay).await;
                }
            }
        }
    }

    fn take_evacuated(&self, view: &mut EvacuationView, evacuated: EvacuatedZones) {
        self.relay.saw(evacuated.revision);
        let whole = match &view.known {
            None => self.relay.is_settled(),
            Some(before) => before.revision.whole,
        };
        if view.known.is_none() && !whole {
            view.again = Some(Instant::now() + RETURN);
        }
        let evacuated = EvacuatedZones {
            revision: evacuated.revision.with_whole(whole),
            ..evacuated
        };
        self.relay.take_evacuated(&evacuated);
        view.known = Some(evacuated);
        if view.again.is_some_and(|again| again <= Instant::now()) {
            *view = EvacuationView::default();
        }
    }
}
