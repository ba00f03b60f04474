//! Brings an agent's engine to what the configuration says it should hold.
//!
//! Every step starts from the engine's own report. The lease is judged right before each order, on a
//! clock that runs on while the process is stopped, and the fencing number goes with the order: an
//! agent that slept past its lease gives none, and an engine that checks numbers refuses one that was
//! under way.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::backend::BackendError;
use cicada_lib::backend::Engine;
use cicada_lib::backend::EngineLoad;
use cicada_lib::backend::Order;
use cicada_lib::config::Config;
use cicada_lib::gossip_net::GossipNet;
use cicada_lib::ids::Name;
use cicada_lib::lease;
use cicada_lib::lease::FenceCheck;
use cicada_lib::lease::Lease;
use cicada_lib::load_slots::LoadSlots;
use cicada_lib::load_slots::SlotRequest;
use cicada_lib::orders::DesiredState;
use cicada_lib::orders::NextStep;
use cicada_lib::orders::Reconciler;
use cicada_lib::platform::Condition;
use cicada_lib::platform::Platform;
use cicada_lib::roster::MemberState;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;

use crate::control::Controller;
use crate::control::Running;
use crate::metrics::OrderMetrics;
use crate::status::Process;
use crate::status::unix_millis;

/// How often the engine's report is compared with the configuration. A change shows within 11 s; the
/// report itself lags.
const STEP: Duration = Duration::from_millis(500);

/// Where the slots for loads from the weight store stand.
const SLOTS_KEY: &str = "weight-slots";

/// Loads from the weight store at once, over all engines.
const MOST_LOADS: usize = 8;

/// Pause after a slot could not be had, and the time after which a held one is renewed.
const SLOT_PAUSE: Duration = Duration::from_secs(2);
const SLOT_RENEWAL: Duration = Duration::from_secs(60);

/// What the controller works with.
pub(crate) struct OrderTools {
    /// The engine.
    pub(crate) engine: Arc<dyn Engine>,
    /// The store of epochs and slots.
    pub(crate) platform: Arc<dyn Platform>,
    /// Who else holds a model.
    pub(crate) net: GossipNet,
    /// The clock that leases are judged by.
    pub(crate) clock: Clock,
    /// The figures.
    pub(crate) metrics: OrderMetrics,
}

/// Gives the orders.
pub(crate) struct OrdersController {
    process: Arc<Process>,
    tools: OrderTools,
    lease: Lease,
    orders: Reconciler,
    slot: Option<Time>,
    not_before: Time,
}

impl OrdersController {
    /// A controller that has given no order yet.
    pub(crate) fn new(process: Arc<Process>, tools: OrderTools) -> Self {
        let check = match process.settings().text("backend", "fencing") {
            "ignored" => FenceCheck::Ignored,
            _ => FenceCheck::Checked,
        };
        OrdersController {
            lease: Lease::new(process.name().clone(), fastrand::u64(1..), check),
            orders: Reconciler::new(),
            slot: None,
            not_before: Time::ZERO,
            process,
            tools,
        }
    }

    async fn follow(mut self) {
        loop {
            tokio::time::sleep(STEP.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
            if let Some(loaded) = self.process.config() {
                self.step(&loaded.config).await;
            }
        }
    }

    async fn step(&mut self, config: &Config) {
        let Some(desired) = desired(config, self.process.name()) else {
            return;
        };
        let Ok(report) = self.tools.engine.load().await else {
            return;
        };
        self.lease.observe_fence(report.fence);
        let now = self.tools.clock.now();
        match self
            .orders
            .next(now, &desired, &report, self.slot.is_some())
        {
            NextStep::InSync => self.give_slot_back().await,
            NextStep::Wait => self.renew_slot(config, &desired, &report).await,
            NextStep::AcquireSlot(model) => self.take_slot(config, &model).await,
            NextStep::Give(order) => self.give(&order).await,
        }
    }

    async fn give(&mut self, order: &Order) {
        let tools = &self.tools;
        let name = self.process.name();
        lease::drive(&mut self.lease, tools.platform.as_ref(), name, &tools.clock).await;
        // Nothing may come between this check and the order.
        let Some(fence) = self.lease.fence(tools.clock.now()) else {
            return;
        };
        let result = tools.engine.order(fence, order).await;
        tracing::info!(fence, ?order, ok = result.is_ok(), "orders: given");
        tools.metrics.given(result.is_ok());
        let now = tools.clock.now();
        if let Err(BackendError::Fenced(newer)) = &result {
            tracing::warn!(
                fence,
                newer,
                "orders: another agent gives orders to this engine"
            );
            self.lease.fenced(now, *newer);
        }
        self.orders.record_result(now, &result);
    }

    async fn take_slot(&mut self, config: &Config, model: &Name) {
        let now = self.tools.clock.now();
        if now < self.not_before {
            return;
        }
        self.not_before = now + SLOT_PAUSE.mul_f64(0.5 + fastrand::f64());
        let request = SlotRequest {
            holder: self.process.name(),
            model,
            replicas: holders(config, model).count(),
            serving: self.serving(config, model),
            now_unix_ms: unix_millis(),
        };
        let taken = self
            .change_slots(|slots| slots.acquire(request, MOST_LOADS))
            .await;
        if taken {
            self.slot = Some(now);
        }
    }

    async fn renew_slot(&mut self, config: &Config, desired: &DesiredState, report: &EngineLoad) {
        let due = self.slot.map(|taken| taken + SLOT_RENEWAL);
        if due.is_none_or(|due| self.tools.clock.now() < due) {
            return;
        }
        let lacking = desired
            .models
            .iter()
            .find(|model| !report.models.contains(model));
        if let Some(model) = lacking {
            self.take_slot(config, model).await;
        }
    }

    async fn give_slot_back(&mut self) {
        if self.slot.is_none() {
            return;
        }
        let holder = self.process.name().clone();
        if self
            .change_slots(|slots| Some(slots.release(&holder)))
            .await
        {
            self.slot = None;
        }
    }

    /// Changes the slots by conditional update. A lost answer counts as no change; the next step, or
    /// the end of the slot's time, puts it right.
    async fn change_slots(&self, change: impl FnOnce(&LoadSlots) -> Option<LoadSlots>) -> bool {
        let platform = &self.tools.platform;
        let Ok(found) = platform.read(SLOTS_KEY).await else {
            return false;
        };
        let condition = match &found {
            Some(object) => Condition::At(object.version),
            None => Condition::Absent,
        };
        let held = found.and_then(|object| postcard::from_bytes(&object.value).ok());
        let Some(next) = change(&held.unwrap_or_default()) else {
            return false;
        };
        let Ok(value) = postcard::to_stdvec(&next) else {
            return false;
        };
        platform
            .write(SLOTS_KEY, value.into(), condition)
            .await
            .is_ok()
    }

    /// Others that should hold the model and are there. Those that still load are counted too, so that
    /// at a start of all of them half may load at once instead of one; the slots bound them anyway.
    fn serving(&self, config: &Config, model: &Name) -> usize {
        let now = self.tools.clock.now();
        let members = self.tools.net.membership().members(now);
        let ready = members
            .iter()
            .filter(|view| view.state == MemberState::Ready);
        ready
            .filter(|view| holders(config, model).any(|name| *name == view.member.name))
            .count()
    }
}

impl Controller for OrdersController {
    fn run(self: Box<Self>) -> Running {
        Box::pin(self.follow())
    }
}

/// What the engine beside the agent should hold; `None` where operators have said nothing.
fn desired(config: &Config, name: &Name) -> Option<DesiredState> {
    let placement = config.placements.get(name)?;
    let models = placement
        .models
        .union(&placement.adapters)
        .cloned()
        .collect();
    let role = match placement.role {
        cicada_lib::config::EngineRole::Mixed => "mixed",
        cicada_lib::config::EngineRole::Prefill => "prefill",
        cicada_lib::config::EngineRole::Decode => "decode",
    };
    Some(DesiredState {
        models,
        role: Name::new(role),
    })
}

/// The hosts whose engines should hold a model.
fn holders<'a>(config: &'a Config, model: &Name) -> impl Iterator<Item = &'a Name> {
    config
        .placements
        .iter()
        .filter(move |(_, placement)| placement.models.contains(model))
        .map(|(name, _)| name)
}
