//! The limit on repeated sends, which all entries share: takes retries, and logs and counts each decision.

use cicada_lib::ids::Name;
use cicada_lib::retry_share;
use cicada_lib::retry_share::RetryLimit;
use cicada_lib::retry_share::RetryShare;
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
}

impl RetryCause {
    fn as_str(self) -> &'static str {
        match self {
            RetryCause::Failed => "failed",
            RetryCause::Refused => "refused",
        }
    }
}

impl Relay {
    /// Changes the limit of all services. What has been earned and taken so far still counts.
    pub(crate) fn set_retry_limit(&self, limit: RetryLimit) {
        let mut shares = lock(&self.retry_shares);
        shares.values_mut().for_each(|share| share.set_limit(limit));
    }

    /// Counts a request for the service, which raises the service's retry limit.
    pub(crate) fn count_request(&self, service: &Name) {
        let now = self.now();
        self.with_retry_share(service, |share, slack| share.record_request(now, slack));
    }

    /// Takes one retry for the call's service if the limit that all entries share allows it.
    pub(crate) fn try_retry(&self, call: &Call, cause: RetryCause) -> bool {
        let now = self.now();
        let (taken, usage) = self.with_retry_share(&call.service, |share, slack| {
            let taken = share.try_retry(now, slack);
            (taken, share.usage(now, slack))
        });
        let (reason, decision) = match taken {
            true => (cause.as_str(), "retry: allowed"),
            false => ("over_bound", "retry: denied"),
        };
        self.metrics().count_retry(reason);
        tracing::info!(
            id = call.id(),
            service = %call.service,
            cause = cause.as_str(),
            requests = usage.requests,
            level = usage.level,
            capacity = usage.capacity,
            entries = self.fleet().entry_shares().count(),
            up = now.since(Time::ZERO).as_millis() as u64,
            "{decision}"
        );
        taken
    }

    /// Sets the gauges of each service's retry share.
    pub(crate) fn update_retry_gauges(&self) {
        let now = self.now();
        let services: Vec<Name> = lock(&self.retry_shares).keys().cloned().collect();
        for service in services {
            let usage = self.with_retry_share(&service, |share, slack| share.usage(now, slack));
            self.metrics().set_retry_usage(&service, &usage);
        }
    }

    /// Passes the service's retry share on, with this entry's part of the slack.
    fn with_retry_share<T>(
        &self,
        service: &Name,
        action: impl FnOnce(&mut RetryShare, f64) -> T,
    ) -> T {
        let mut shares = lock(&self.retry_shares);
        // Read under the lock, so that no share is created with a limit that was replaced meanwhile.
        let limit = self.reloadable().retry_limit;
        let fleet = self.fleet();
        let entries = fleet.entry_shares();
        let slack = entries.slack_share(service, limit.slack, retry_share::MIN_SLACK_SHARE);
        drop(fleet);
        let share =
            shares
                .entry(service.clone())
                .or_insert_with(|| match self.settings.first_start {
                    true => RetryShare::new(limit).with_full(),
                    false => RetryShare::new(limit),
                });
        action(share, slack)
    }
}
