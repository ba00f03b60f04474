//! What a scout reports of its engine, and how often.

use std::time::Duration;

use cicada_lib::dialect::EngineReport;
use cicada_lib::ids::Name;
use cicada_lib::peer_words::EngineLoad;
use cicada_lib::peer_words::ScoutReport;
use cicada_lib::placement;
use tokio::time::Instant;

use crate::scout::LOOK;
use crate::scout::Scout;

/// How often a report goes to each listener while nothing has changed.
const TELL: Duration = Duration::from_millis(400);

/// A change of this part of the memory is told at once, as are requests that came or ended.
const NEWS_PART: u64 = 32;

/// So is a change of the failing part by more hundredths than this: two more failures among some.
const NEWS_FAILING: u8 = 10;

/// After a relay's word of a request a report goes out once more at these times, though nothing has changed.
/// Relays of the zone, and of other regions, count a request beside the reports until one comes that is as
/// much later; without it they would count it twice for up to 0.4 s, and take the engine for crowded.
const FOLLOW_UPS: [Duration; 2] = [Duration::from_millis(65), Duration::from_millis(135)];

/// Datagrams of reports in a second, to all listeners together: at 45 bytes under 7 KB. Beyond five
/// listeners each gets its reports less often.
const TELL_RATE: f64 = 150.0;

/// The time between two reports to relays that ask before they choose. They take from them only that the scout
/// lives and how full the region is.
const TELL_ASKERS: Duration = Duration::from_millis(500);

impl Scout {
    /// How long after a report the next one goes out.
    pub(crate) fn pause(&self, word: &ScoutReport) -> Duration {
        let load = &word.load;
        let news = self.last.as_ref().is_none_or(|last| {
            let last = &last.load;
            let same = (last.reading, last.running) == (load.reading, load.running);
            let part = load.capacity / NEWS_PART;
            let planned = last.planned.abs_diff(load.planned) > part;
            let failing = last.failing.abs_diff(load.failing) > NEWS_FAILING;
            let follows = FOLLOW_UPS.iter().any(|after| {
                let due = self.heard + *after;
                self.told < due && due <= Instant::now()
            });
            let cold = (last.cold == 0) != (load.cold == 0);
            !same
                || cold
                || planned
                || failing
                || follows
                || last.unread.abs_diff(load.unread) > part
        });
        let pause = if news { LOOK } else { TELL };
        pause.max(self.every())
    }

    /// The time between two reports while there is news.
    fn every(&self) -> Duration {
        let shared = self.listeners.len() as f64 / TELL_RATE;
        let every = LOOK.max(Duration::from_secs_f64(shared));
        match placement::reports_too_sparse(every) {
            true => every.max(TELL_ASKERS),
            false => every,
        }
    }

    /// What is told of the engine, but for the request `without`.
    pub(crate) fn word(&mut self, report: &EngineReport, without: Option<&Name>) -> ScoutReport {
        let now = self.clock.now();
        let forecast = self.load_tracker.forecast(now, without);
        ScoutReport {
            here: self.here.clone(),
            load: EngineLoad {
                born: report.born,
                queued: report.queued,
                running: report.running,
                reading: report.reading,
                used: report.used,
                planned: forecast.peak_tokens,
                unread: forecast.prefill_tokens,
                reads: (self.load_tracker.prefill_rate() * 10.0) as u32,
                capacity: report.capacity,
                failing: (self.outcomes.rate(now) * 100.0) as u8,
                leaving: report.leaving,
                leaves: report.leaves.map(|time| time.as_millis() as u32),
                cold: self.cold.remaining(now, self.cold_period).as_millis() as u32,
                every: self.every().as_millis() as u32,
            },
        }
    }
}
