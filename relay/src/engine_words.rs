//! What scouts tell a relay of their engines.

use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::EngineIdentity;
use cicada_lib::peer_words::EngineLoad;
use cicada_lib::peer_words::LoadAnswer;
use cicada_lib::peer_words::ScoutReport;

use crate::relay::Relay;

impl Relay {
    /// Takes a report of an engine.
    pub(crate) fn report(&self, report: &ScoutReport) {
        let load = self.heeded(&report.load);
        let turned = self.fleet().apply_report(self.now(), &report.here, &load);
        self.note_turned(turned, report);
    }

    /// Takes a scout's answer.
    pub(crate) fn load_answer(&self, answer: &LoadAnswer) {
        let report = &answer.report;
        let load = self.heeded(&report.load);
        let turned = self
            .fleet()
            .apply_load_answer(self.now(), &report.here, &load);
        self.note_turned(turned, report);
        self.asks().answered(answer);
    }

    /// The load as far as the settings let it count.
    fn heeded(&self, load: &EngineLoad) -> EngineLoad {
        let failing = if self.policy().avoid { load.failing } else { 0 };
        EngineLoad {
            failing,
            ..load.clone()
        }
    }

    fn note_turned(&self, turned: bool, report: &ScoutReport) {
        if turned {
            let ScoutReport { here, load } = report;
            tracing::info!(engine = %here.address, leaves = ?load.leaves, "fleet: an engine says that it leaves");
            self.note_leaving();
        }
    }

    /// A scout says who its engine is.
    pub(crate) fn engine_identity(&self, word: &EngineIdentity) {
        let (here, id) = (&word.here, &word.id);
        if self.fleet().apply_identity(self.now(), here, id) {
            let address = here.address;
            tracing::info!(engine = %address, server = %id, "fleet: a scout names another life of its engine");
        }
    }

    /// A scout says that its engine is there; whether that is news. Heeded only while the directory is out of
    /// reach: otherwise it tells of the engine, and of its identifier, itself.
    pub(crate) fn engine_here(&self, here: &EngineHere) -> bool {
        if !self.is_out_of_reach() || !self.table().services().contains_key(&here.service) {
            return false;
        }
        let now = self.now();
        let news = self.fleet().add_announced(now, here);
        if news {
            tracing::info!(engine = %here.address, service = %here.service, "fleet: a scout says that its engine is there");
        }
        news
    }
}
