//! Permission for scouts to stop the runs whose streams this relay holds.

use std::time::Duration;

use cicada_lib::migration::run_stops::StopRefusal;
use cicada_lib::migration::run_stops::Stopper;
use cicada_lib::peer_messages::StopNotice;
use cicada_lib::peer_messages::StopQuery;
use cicada_lib::peer_messages::StopReply;

use crate::relay::Relay;

impl Relay {
    /// Decides whether a scout may stop a run to move it. `None` if the run's stream is not here.
    pub(crate) fn permit_stop(&self, query: &StopQuery) -> Option<StopReply> {
        let run = &query.run;
        if !self.moved_runs.local().contains(&run.id) {
            return None;
        }
        let now = self.now();
        let fleet = self.fleet();
        let key = run.target.and_then(|target| fleet.key_at(target));
        let record = key.and_then(|key| fleet.record(key));
        let round_trip = record.map_or(Duration::ZERO, |r| fleet.round_trip(now, &r.zone));
        drop(fleet);
        let permission = self.moved_runs.permit_stop(query, round_trip)?;
        let word = permission.map_or_else(StopRefusal::as_str, |_| "permitted");
        // Asked again with the handle of the copy, just before the stop.
        if permission.is_err() || !run.handle.as_str().is_empty() {
            self.metrics.count_stop(Stopper::Scout, word);
            tracing::info!(id = %run.id, engine = %run.source, target = ?run.target, word, "move: a scout asks to stop the run");
        }
        Some(StopReply {
            id: run.id.clone(),
            number: query.number,
            permitted: permission.is_ok(),
        })
    }

    /// Records what became of a stop that a scout was permitted.
    pub(crate) fn record_stop_notice(&self, notice: &StopNotice) {
        if !self.moved_runs.local().contains(&notice.query.run.id) {
            return;
        }
        let word = match notice.withdrawn {
            true => "withdrawn",
            false => "unknown",
        };
        self.metrics.count_stop(Stopper::Scout, word);
        self.moved_runs.record_outcome(notice);
    }
}
