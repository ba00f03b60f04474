//! The contents of a scout's load reports, and when they are sent.

use std::time::Duration;

use cicada_lib::dialect::EngineReport;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::ScoutReport;
use cicada_lib::placement;
use tokio::time::Instant;

use crate::scout::POLL_INTERVAL;
use crate::scout::Scout;

/// Interval between reports to a subscriber while nothing has changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A change of more than this fraction of the memory (one part in `MEMORY_CHANGE_DIVISOR`) is reported at
/// once, as are requests that start or end.
const MEMORY_CHANGE_DIVISOR: u64 = 32;

/// A change of the failure rate by more percentage points than this is reported at once as well. It
/// corresponds to two more failures among a small number of requests.
const FAILURE_RATE_THRESHOLD: u8 = 10;

/// After a relay announced a request, a report is sent at these times even if nothing has changed. Until a
/// report arrives that is at least this much later than the announcement, relays of the zone and of other
/// regions add the announced request to the reported load. Without the report they would count it twice for
/// up to 0.4 s and consider the engine overloaded.
const FOLLOW_UP_DELAYS: [Duration; 2] = [Duration::from_millis(65), Duration::from_millis(135)];

/// Maximum number of report datagrams per second, over all subscribers: under 7 KB/s at 45 bytes each. With
/// more than five subscribers, each receives reports less often.
const MAX_REPORT_RATE: f64 = 150.0;

/// Interval between reports to relays that probe before they place a request. They use the reports only to
/// see that the scout is alive and how loaded the region is.
const PROBED_REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl Scout {
    /// How long after the last report the given one is due.
    pub(crate) fn report_delay(&self, report: &ScoutReport) -> Duration {
        let load = &report.load;
        let changed = self.last_report.as_ref().is_none_or(|last| {
            let last = &last.load;
            let same_requests = (last.prefilling, last.running) == (load.prefilling, load.running);
            let threshold = load.capacity / MEMORY_CHANGE_DIVISOR;
            let planned_changed = last.peak_tokens.abs_diff(load.peak_tokens) > threshold;
            let failure_rate_changed =
                last.failure_percent.abs_diff(load.failure_percent) > FAILURE_RATE_THRESHOLD;
            let follow_up_due = FOLLOW_UP_DELAYS.iter().any(|after| {
                let due = self.last_sent_notice + *after;
                self.last_report_at < due && due <= Instant::now()
            });
            let cold_changed = (last.cold == 0) != (load.cold == 0);
            !same_requests
                || cold_changed
                || planned_changed
                || failure_rate_changed
                || follow_up_due
                || last.prefill_tokens.abs_diff(load.prefill_tokens) > threshold
        });
        let delay = if changed {
            POLL_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        delay.max(self.report_interval())
    }

    /// The interval between reports while the load changes.
    fn report_interval(&self) -> Duration {
        let shared_interval = self.subscribers.len() as f64 / MAX_REPORT_RATE;
        let interval = POLL_INTERVAL.max(Duration::from_secs_f64(shared_interval));
        match placement::reports_too_sparse(interval) {
            true => interval.max(PROBED_REPORT_INTERVAL),
            false => interval,
        }
    }

    /// Builds a report of the engine's load, leaving out the request with the identifier `excluded`.
    pub(crate) fn make_report(
        &mut self,
        report: &EngineReport,
        excluded: Option<&Name>,
    ) -> ScoutReport {
        let now = self.clock.now();
        let forecast = self.load_tracker.forecast(now, excluded);
        ScoutReport {
            engine: self.engine.clone(),
            load: EngineLoad {
                born: report.born,
                queued: report.queued,
                running: report.running,
                prefilling: report.reading,
                used: report.used,
                peak_tokens: forecast.peak_tokens,
                prefill_tokens: forecast.prefill_tokens,
                prefill_rate: (self.load_tracker.prefill_rate() * 10.0) as u32,
                capacity: report.capacity,
                failure_percent: (self.outcomes.rate(now) * 100.0) as u8,
                leaving: report.leaving,
                leaves: report.leaves.map(|time| time.as_millis() as u32),
                cold: self.cold.remaining(now, self.cold_period).as_millis() as u32,
                interval_ms: self.report_interval().as_millis() as u32,
                gaps: self.gap_tracker.gaps(now),
                prefill_percent: self.gap_tracker.prefill_percent(),
            },
        }
    }
}
