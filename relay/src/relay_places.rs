//! Places an entry's requests on servers, and tells other processes about them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::RequestOutcome;
use cicada_lib::peer_messages::RequestSent;
use cicada_lib::recent_rejections::RecentRejections;
use cicada_lib::residency::ANY_REGION;
use cicada_lib::routing::ServerKey;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::site::ServiceSpec;
use cicada_lib::stream_admission;
use cicada_lib::stream_admission::AdmissionError;
use cicada_lib::stream_admission::AdmissionRequest;

use crate::lock::lock;
use crate::placed_request::ChoiceBasis;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::relay::SentNotice;

impl Relay {
    /// Chooses a server and counts the request as sent there. If `admission` is given, the request is subject to
    /// admission control and goes only to an engine that is not overloaded.
    pub(crate) fn place(
        self: &Arc<Self>,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
        admission: Option<&AdmissionRequest>,
    ) -> Result<PlacedRequest, AdmissionError> {
        let now = self.now();
        let mut fleet = self.fleet();
        let key = match admission {
            Some(admission) => {
                stream_admission::select_engine(&fleet, now, request, spec, admission)?
            }
            None => fleet
                .choose(now, request, spec)
                .map_err(AdmissionError::NoServer)?,
        };
        let record = fleet.record(key).cloned();
        let record = record.ok_or(AdmissionError::NoServer(NoServer::None))?;
        let (used_tokens, age) = fleet.memory_use(now, key);
        let basis = ChoiceBasis {
            used_tokens,
            report_age_ms: age.map(|age| age.as_millis() as u64),
            rate_limit: fleet.limit(key).map(RequestRate::per_second),
            exclusions: (!fleet.is_in_own_region(key))
                .then(|| fleet.exclusions_in_own_region(now, request, spec)),
            ..ChoiceBasis::default()
        };
        if let Some(admission) = admission {
            lock(&self.retry_pacer).record_admission(now, request.service, admission.rank);
        }
        fleet.record_sent(now, key, request);
        let basis = ChoiceBasis {
            prefill_backlog: fleet.prefill_backlog(now, key),
            ..basis
        };
        drop(fleet);
        Ok(PlacedRequest::new(self, key, record, request).with_basis(basis))
    }

    /// Recently rejected requests. The lock is held for microseconds.
    pub(crate) fn recent_rejections(&self) -> MutexGuard<'_, RecentRejections> {
        lock(&self.recent_rejections)
    }

    /// Whether the workspace recently used more than its share of the service.
    pub(crate) fn is_over_share(&self, service: &Name, workspace: Option<&Name>) -> bool {
        let (Some(workspace), true) = (workspace, self.policy().shares) else {
            return false;
        };
        let now = self.now();
        let mut usage = lock(&self.workspace_usage);
        usage
            .get_mut(service)
            .is_some_and(|usage| usage.is_over_share(now, workspace))
    }

    /// Records that a stream of the workspace was admitted that is expected to hold this many tokens.
    pub(crate) fn record_usage(&self, service: &Name, workspace: Option<&Name>, tokens: u64) {
        let Some(workspace) = workspace else {
            return;
        };
        let now = self.now();
        let mut usage = lock(&self.workspace_usage);
        let usage = usage.entry(service.clone()).or_default();
        usage.record(now, workspace, tokens);
    }

    /// How long a rejected caller waits before it retries.
    pub(crate) fn retry_delay(
        &self,
        service: &Name,
        admission: &AdmissionRequest,
        left: Duration,
    ) -> Duration {
        let now = self.now();
        let mut retry_pacer = lock(&self.retry_pacer);
        retry_pacer.retry_delay(now, service, admission, left, fastrand::f64())
    }

    /// Counts a run at the engine to which its scout has moved it. Returns `None` if the run is not permitted there.
    pub(crate) fn place_moved(
        self: &Arc<Self>,
        engine: &EngineLocation,
        request: &PlacementRequest<'_>,
    ) -> Option<PlacedRequest> {
        let now = self.now();
        let mut fleet = self.fleet();
        let key = fleet.key_for_moved_run(now, engine)?;
        if !fleet.is_permitted_at(key, request.regions) {
            return None;
        }
        let record = fleet.record(key).cloned()?;
        fleet.record_sent(now, key, request);
        drop(fleet);
        Some(PlacedRequest::new(self, key, record, request))
    }

    /// Counts a run at the engine to which this relay moves it. Returns `None` if the run is not permitted there, or the
    /// engine takes no work any more.
    pub(crate) fn place_at(
        self: &Arc<Self>,
        key: ServerKey,
        request: &PlacementRequest<'_>,
    ) -> Option<PlacedRequest> {
        let now = self.now();
        let mut fleet = self.fleet();
        if !fleet.takes_work(key) || !fleet.is_permitted_at(key, request.regions) {
            return None;
        }
        let record = fleet.record(key).cloned()?;
        fleet.record_sent(now, key, request);
        drop(fleet);
        Some(PlacedRequest::new(self, key, record, request))
    }

    /// Announces a request that was sent to an engine to the engine's scout and to other relays, ahead of the engine's
    /// next load report.
    pub(crate) fn announce_sent(&self, placed: &PlacedRequest, id: Option<&Name>) {
        let engine = placed.record.address;
        let Some(message) = id.map(|id| placed.sent_message(id)) else {
            return;
        };
        // If reports arrive too seldom to choose by, the other relays probe the scout, which counts this request.
        let probes = self.policy().ask;
        let service = &placed.record.service;
        let fleet = self.fleet();
        let sparse = probes && fleet.reports_too_sparse(self.now(), service, &ANY_REGION);
        drop(fleet);
        let sent = SentNotice {
            message,
            to_relays: !sparse,
        };
        if self.sent_queue.try_send(sent).is_err() {
            tracing::debug!(%engine, "peers: the queue of sent notices is full; one was dropped");
        }
    }

    /// Tells the engine's scout whether a request succeeded there.
    pub(crate) fn report_outcome(&self, engine: SocketAddr, succeeded: bool) {
        if self
            .ended_queue
            .try_send(RequestOutcome { engine, succeeded })
            .is_err()
        {
            tracing::debug!(%engine, "peers: the queue of request outcomes is full; one was dropped");
        }
    }

    /// Records a request that another relay sent to an engine.
    pub(crate) fn record_sent_elsewhere(&self, message: &RequestSent) {
        let now = self.now();
        let mut fleet = self.fleet();
        fleet.record_sent_elsewhere(now, message.engine, message.prompt, message.tokens);
    }
}
