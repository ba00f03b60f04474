//! Reconciles the models and role of an engine with the desired state, one order at a time.
//!
//! Reconciliation is level-triggered: each decision is based on the engine's own report, never on
//! earlier orders. An order whose response was lost, an order that arrived late, and an engine that
//! restarted empty all show up as a difference in a later report, and are corrected. Otherwise, one
//! lost response could leave an engine without its model forever.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::backend::BackendError;
use crate::backend::EngineLoad;
use crate::backend::Order;
use crate::ids::Name;
use crate::time::Time;

// The engine's report lags behind: an order is not repeated before its effect can show there.
const REPORT_DELAY: Duration = Duration::from_secs(2);

// The backoff after a refused or failed order, doubled with each failure, so that an engine that
// cannot load a model is not ordered to do so continuously.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(120);

/// The desired state of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DesiredState {
    /// The models, versions and adapters to be loaded.
    pub models: BTreeSet<Name>,
    /// The role; empty if any role will do.
    pub role: Name,
}

/// The next reconciliation step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// The engine is in the desired state.
    InSync,
    /// Wait: the last order may not show in the report yet, or a backoff is running.
    Wait,
    /// Give the order now.
    Give(Order),
    /// Acquire a load slot first, to load this model.
    AcquireSlot(Name),
}

/// The state of reconciliation of one engine.
#[derive(Debug, Default)]
pub struct Reconciler {
    not_before: Time,
    failures: u32,
}

impl Reconciler {
    /// The state of an engine that has been given no orders.
    pub fn new() -> Self {
        Reconciler::default()
    }

    /// The next step, based on the engine's last report. `slot` tells whether the agent holds a
    /// load slot.
    pub fn next(
        &self,
        now: Time,
        desired: &DesiredState,
        report: &EngineLoad,
        slot: bool,
    ) -> NextStep {
        let held: BTreeSet<_> = report.models.iter().cloned().collect();
        let surplus = held.difference(&desired.models).next();
        let missing = desired.models.difference(&held).next();
        let role_differs = !desired.role.as_str().is_empty() && report.role != desired.role;
        if surplus.is_none() && missing.is_none() && !role_differs {
            return NextStep::InSync;
        }
        if now < self.not_before {
            return NextStep::Wait;
        }
        // The old version is kept until this engine has a slot to load the new one. Otherwise all
        // replicas would unload the old version at once, and none would serve while they load in
        // turn.
        if let Some(missing) = missing
            && !slot
        {
            return NextStep::AcquireSlot(missing.clone());
        }
        match (surplus, missing) {
            (Some(surplus), _) => NextStep::Give(Order::Unload(surplus.clone())),
            _ if role_differs => NextStep::Give(Order::Role(desired.role.clone())),
            (_, Some(missing)) => NextStep::Give(Order::Load(missing.clone())),
            _ => NextStep::InSync,
        }
    }

    /// Records the result of an order. Returns whether the agent has been superseded and must stop.
    pub fn record_result(&mut self, now: Time, result: &Result<(), BackendError>) -> bool {
        match result {
            // A lost response is treated like a success: the next report shows whether it was one.
            Ok(()) | Err(BackendError::Lost(_)) => {
                self.failures = 0;
                self.not_before = now + REPORT_DELAY;
                false
            }
            Err(BackendError::Fenced(_)) => true,
            Err(_) => {
                let backoff = FAILURE_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
                self.failures += 1;
                self.not_before = now + backoff.min(MAX_FAILURE_BACKOFF);
                false
            }
        }
    }
}
