//! Which order an engine gets next, to bring it from what it holds to what it should hold.
//!
//! Level-triggered: each decision starts from the engine's own report, never from what was ordered
//! before. An order whose answer was lost, an order that came late, an engine that was restarted and
//! holds nothing: each shows as a difference in a later report, and is put right. Without that, one
//! lost answer leaves an engine without its model for ever.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::backend::BackendError;
use crate::backend::EngineLoad;
use crate::backend::Order;
use crate::ids::Name;
use crate::time::Time;

// The engine's report lags; an order is not given again before it can show there.
const REPORT_LAG: Duration = Duration::from_secs(2);

// After a refused or failed order, doubled with each, so that an engine that cannot load a model is
// not asked to without end.
const PAUSE: Duration = Duration::from_secs(2);
const MAX_PAUSE: Duration = Duration::from_secs(120);

/// What an engine should hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Desired {
    /// Models, versions and adapters.
    pub models: BTreeSet<Name>,
    /// The role; empty for any.
    pub role: Name,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextOrder {
    /// Nothing: the engine holds what it should.
    Settled,
    /// Nothing yet: the last order has not had time to show.
    Wait,
    /// Give the order now.
    Give(Order),
    /// Nothing before a slot to load this model is had.
    NeedSlot(Name),
}

/// The orders to one engine.
#[derive(Debug, Default)]
pub struct Orders {
    not_before: Time,
    failures: u32,
}

impl Orders {
    /// Orders to an engine that got none yet.
    pub fn new() -> Self {
        Orders::default()
    }

    /// The next step, by the engine's last report. `slot` tells whether the agent has a slot to load
    /// weights.
    pub fn next(&self, now: Time, desired: &Desired, report: &EngineLoad, slot: bool) -> NextOrder {
        let held: BTreeSet<_> = report.models.iter().cloned().collect();
        let spare = held.difference(&desired.models).next();
        let lacking = desired.models.difference(&held).next();
        let role_differs = !desired.role.as_str().is_empty() && report.role != desired.role;
        if spare.is_none() && lacking.is_none() && !role_differs {
            return NextOrder::Settled;
        }
        if now < self.not_before {
            return NextOrder::Wait;
        }
        // The old version stays until it is this engine's turn to load the new one. Else all replicas
        // would drop the old one at once, and nobody would serve while the loads take turns.
        if let Some(lacking) = lacking
            && !slot
        {
            return NextOrder::NeedSlot(lacking.clone());
        }
        match (spare, lacking) {
            (Some(spare), _) => NextOrder::Give(Order::Unload(spare.clone())),
            _ if role_differs => NextOrder::Give(Order::Role(desired.role.clone())),
            (_, Some(lacking)) => NextOrder::Give(Order::Load(lacking.clone())),
            _ => NextOrder::Settled,
        }
    }

    /// An order was given. Returns whether the agent has been superseded and must stop.
    pub fn given(&mut self, now: Time, result: &Result<(), BackendError>) -> bool {
        match result {
            // A lost answer is like a good one: the next report tells.
            Ok(()) | Err(BackendError::Lost(_)) => {
                self.failures = 0;
                self.not_before = now + REPORT_LAG;
                false
            }
            Err(BackendError::Fenced(_)) => true,
            Err(_) => {
                let pause = PAUSE * 2_u32.saturating_pow(self.failures.min(8));
                self.failures += 1;
                self.not_before = now + pause.min(MAX_PAUSE);
                false
            }
        }
    }
}
