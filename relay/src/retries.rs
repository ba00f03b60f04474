//! The limit on repeated sends, which all entries share: takes retries, and logs and counts each decision.

use cicada_lib::ids::Name;
use cicada_lib::retry_window::RetryWindow;
use cicada_lib::time::Time;

use crate::exchange::Call;
use crate::lock::lock;
use crate::relay::Relay;

/// Why a request is sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryCause {
    /// A server may have run it, and failed or gave no answer.
    Failed,
    /// A server stated that it did not run it.
    Refused,
    /// Its run continues from memory after a move.
    Moved,
}

impl RetryCause {
    fn as_str(self) -> &'static str {
        match self {
            RetryCause::Failed => "failed",
            RetryCause::Refused => "refused",
            RetryCause::Moved => "moved",
        }
    }
}

impl Relay {
    /// Counts a request for the service, which raises the service's retry limit.
    pub(crate) fn count_request(&self, service: &Name) {
        let now = self.now();
        self.with_retry_window(service, |window| window.record_request(now));
    }

    /// Takes one retry for the call's service if the limit that all entries share allows it. `reserved`, from 0 to 1,
    /// is the share of the limit to leave to other retries.
    pub(crate) fn try_retry(&self, call: &Call, cause: RetryCause, reserved: f64) -> bool {
        let now = self.now();
        let entries = self.fleet().entry_shares().count();
        let (taken, usage) = self.with_retry_window(&call.service, |window| {
            let taken = window.try_retry(now, entries, reserved);
            (taken, window.usage(now, entries))
        });
        let reason = match (taken, cause) {
            (true, cause) => cause.as_str(),
            (false, RetryCause::Moved) => "move_over_bound",
            (false, _) => "over_bound",
        };
        self.metrics().count_retry(reason);
        tracing::info!(
            id = call.id(),
            service = %call.service,
            cause = cause.as_str(),
            requests = usage.requests,
            retries = usage.retries,
            limit = usage.limit,
            entries,
            up = now.since(Time::ZERO).as_millis() as u64,
            "{}",
            if taken { "retry: allowed" } else { "retry: denied" }
        );
        taken
    }

    /// Sets the gauges of what each service's retry limit allows this entry, and of what is used.
    pub(crate) fn update_retry_gauges(&self) {
        let now = self.now();
        let entries = self.fleet().entry_shares().count();
        let mut windows = lock(&self.retry_windows);
        for (service, window) in windows.iter_mut() {
            let usage = window.usage(now, entries);
            self.metrics().set_retry_usage(service, &usage);
        }
    }

    fn with_retry_window<T>(
        &self,
        service: &Name,
        action: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let mut windows = lock(&self.retry_windows);
        let limit = self.reloadable().retry_limit;
        let window = windows
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(limit));
        action(window)
    }
}
