//! Applies what scouts report of their engines to a relay's state.

use cicada_lib::fleet::IdentityNews;
use cicada_lib::peer_messages::EngineIdentity;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::LoadProbeReply;
use cicada_lib::peer_messages::ScoutReport;
use cicada_lib::server_leaving::LeavingSource;

use crate::relay::Relay;

impl Relay {
    /// Applies a load report.
    pub(crate) fn handle_report(&self, report: &ScoutReport) {
        let load = self.effective_load(&report.load);
        let started_leaving = self.fleet().apply_report(self.now(), &report.engine, &load);
        self.handle_leaving_engine(started_leaving, report);
        self.wait_queues().record_sign();
    }

    /// Applies the answer to a load probe.
    pub(crate) fn handle_load_answer(&self, answer: &LoadProbeReply) {
        let report = &answer.report;
        let load = self.effective_load(&report.load);
        let started_leaving = self
            .fleet()
            .apply_load_answer(self.now(), &report.engine, &load);
        self.handle_leaving_engine(started_leaving, report);
        self.load_probes().record_answer(answer);
    }

    /// The reported load, without the failure rate if the settings disable avoiding failing engines.
    fn effective_load(&self, load: &EngineLoad) -> EngineLoad {
        let failure_percent = if self.policy().avoid {
            load.failure_percent
        } else {
            0
        };
        EngineLoad {
            failure_percent,
            ..load.clone()
        }
    }

    fn handle_leaving_engine(&self, started_leaving: bool, report: &ScoutReport) {
        if started_leaving {
            let ScoutReport { engine, load } = report;
            tracing::info!(engine = %engine.address, leaves = ?load.leaves, "fleet: an engine leaves");
            self.metrics().count_leaving(LeavingSource::Scout.as_str());
            self.notify_leaving();
        }
    }

    /// Applies the identifier of an engine's current incarnation.
    pub(crate) fn handle_identity(&self, identity: &EngineIdentity) {
        let trusts_scouts = self.is_directory_unreachable();
        let news = self
            .fleet()
            .apply_identity(self.now(), identity, trusts_scouts);
        let (engine, server) = (identity.engine.address, &identity.id);
        match news {
            IdentityNews::Known => {}
            IdentityNews::Replaced => {
                tracing::info!(%engine, %server, trusts_scouts, "fleet: a scout names another life of its engine");
            }
            IdentityNews::Ended => {
                let (service, unbroken) = (&identity.engine.service, identity.unbroken);
                tracing::info!(%engine, %server, scout_service = %service, unbroken, "fleet: an address has another server; only the list can tell its service");
            }
        }
        self.metrics().count_identity(news);
    }

    /// Applies the announcement of an engine, and returns whether the engine is new to this relay. Ignored
    /// unless the directory is unreachable: otherwise the directory lists the engine together with its
    /// identifier.
    pub(crate) fn handle_announcement(&self, here: &EngineLocation) -> bool {
        if !self.is_directory_unreachable() || !self.table().services().contains_key(&here.service)
        {
            return false;
        }
        let now = self.now();
        let is_new = self.fleet().add_announced(now, here);
        if is_new {
            tracing::info!(engine = %here.address, service = %here.service, "fleet: a scout says that its engine is there");
            self.notify_engines_joined();
        }
        is_new
    }
}
