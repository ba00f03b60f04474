//! Derives the prefill groups of all zones from the engines' reports, a few times per second. Choices only read the
//! result.

use std::collections::HashMap;
use std::sync::Arc;

use cicada_lib::fleet_migration::GroupSize;
use cicada_lib::ids::Name;
use cicada_lib::migration::prefill_group::GapObjective;
use cicada_lib::migration::prefill_group::UPDATE_INTERVAL;
use cicada_lib::site::SiteConfig;
use tokio::time::sleep;

use crate::relay::Relay;

/// Derives the groups until the process ends.
pub(crate) async fn run(relay: Arc<Relay>) {
    let mut sizes: Vec<GroupSize> = Vec::new();
    loop {
        sleep(UPDATE_INTERVAL).await;
        let new = derive(&relay);
        log_changes(&sizes, &new);
        relay.metrics().set_prefill_groups(&new);
        sizes = new;
    }
}

fn derive(relay: &Relay) -> Vec<GroupSize> {
    let objectives = match relay.policy().handoff {
        true => gap_objectives(relay.table().config()),
        false => HashMap::new(),
    };
    let now = relay.now();
    let mut sizes = relay.fleet().update_prefill_groups(now, &objectives);
    sizes.sort_by(|a, b| (&a.zone, &a.service).cmp(&(&b.zone, &b.service)));
    sizes
}

fn log_changes(old: &[GroupSize], new: &[GroupSize]) {
    for size in new {
        let before = old
            .iter()
            .find(|old| (&old.zone, &old.service) == (&size.zone, &size.service));
        let before = before.map_or(0, |before| before.members);
        if before != size.members {
            tracing::info!(
                zone = %size.zone,
                service = %size.service,
                before,
                members = size.members,
                engines = size.engines,
                "migration: prefill group"
            );
        }
    }
}

/// What the callers of each service need, for services with a route that declares a longest gap and with engines that
/// support moves: without moves, all runs would stay with the prompts.
fn gap_objectives(config: &SiteConfig) -> HashMap<Name, GapObjective> {
    let mut objectives: HashMap<Name, GapObjective> = HashMap::new();
    let declaring = config.routes.iter().filter(|r| !r.event_gap.is_zero());
    let services = declaring.flat_map(|r| r.shares.iter().map(move |s| (&s.service, r)));
    for (service, route) in services {
        let engine = config.services.get(service).and_then(|s| s.engine.as_ref());
        if !engine.is_some_and(|engine| engine.supports_moves) {
            continue;
        }
        let objective = objectives.entry(service.clone()).or_insert(GapObjective {
            gap_limit: route.event_gap,
            first_event: route.objective,
        });
        objective.gap_limit = objective.gap_limit.min(route.event_gap);
        objective.first_event = objective.first_event.min(route.objective);
    }
    objectives
}
