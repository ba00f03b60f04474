//! What a stand-in engine holds beside its batch: models, role, fencing number and load reports.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::backend::EngineLoad;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Order;
use cicada_lib::ids::Name;

use crate::engine::EngineRecord;
use crate::engine::EngineSettings;
use crate::engine::OrderRecord;
use crate::engine_core::EngineCore;
use crate::engine_core::Step;

#[derive(Debug)]
struct Report {
    taken: Instant,
    load: EngineLoad,
}

/// What became of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// It is carried out.
    Taken,
    /// A model is to be loaded.
    Loading(Name),
    /// A larger fencing number was seen.
    Fenced(u64),
}

/// The engine's state.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) core: EngineCore,
    settings: EngineSettings,
    models: Vec<Name>,
    role: Name,
    // Lost when the engine dies, as it is in engines that keep nothing.
    fence: u64,
    orders: Vec<OrderRecord>,
    deaths: u64,
    // Multiplies the time of each step.
    slow: f64,
    step_micros: u64,
    // Oldest first; the first is the newest that is older than the lag.
    reports: VecDeque<Report>,
    // No step is taken until the engine is up again.
    dead: bool,
}

impl EngineState {
    /// The state of a first start.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        EngineState {
            core: EngineCore::new(settings.core.clone(), fastrand::u64(1..)),
            models: settings.models.clone(),
            role: Name::new("mixed"),
            fence: 0,
            orders: Vec::new(),
            deaths: 0,
            slow: 1.0,
            step_micros: 0,
            reports: VecDeque::new(),
            dead: false,
            settings,
        }
    }

    /// Whether the engine is dead, and not yet up again.
    pub(crate) fn is_dead(&self) -> bool {
        self.dead
    }

    /// Everything is gone; `false` where the engine is dead already.
    pub(crate) fn die(&mut self) -> bool {
        if self.dead {
            return false;
        }
        self.dead = true;
        self.deaths += 1;
        self.core.die();
        self.reports.clear();
        true
    }

    /// A new start.
    pub(crate) fn come_back(&mut self) {
        self.dead = false;
        self.models = self.settings.models.clone();
        self.role = Name::new("mixed");
        self.fence = 0;
        self.step_micros = 0;
        self.core.reborn(fastrand::u64(1..));
    }

    /// Whether the model and the adapter are loaded.
    pub(crate) fn holds(&self, spec: &GenerationSpec) -> bool {
        let adapter = spec.adapter.as_str().is_empty() || self.models.contains(&spec.adapter);
        adapter && self.models.contains(&spec.model)
    }

    /// The next step, and the start in which it is taken.
    pub(crate) fn plan(&mut self) -> (Step, u64) {
        let incarnation = self.core.incarnation();
        if self.dead {
            return (Step::Idle, incarnation);
        }
        let step = match self.core.plan(Instant::now()) {
            Step::Ran(time) => Step::Ran(time.mul_f64(self.slow)),
            other => other,
        };
        (step, incarnation)
    }

    /// Ends a step that was planned in start `incarnation` and took `time`.
    pub(crate) fn produce(&mut self, incarnation: u64, time: Duration) {
        if self.dead || self.core.incarnation() != incarnation {
            return;
        }
        let now = Instant::now();
        self.core.produce(now);
        self.step_micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.settle_reports(now);
    }

    /// Multiplies the time of each step from now on.
    pub(crate) fn set_slow(&mut self, factor: f64) {
        self.slow = factor;
    }

    /// Takes or refuses an order.
    pub(crate) fn order(&mut self, fence: u64, order: Order) -> OrderOutcome {
        let taken = fence >= self.fence || !self.settings.fencing;
        self.orders.push(OrderRecord {
            fence,
            order: order.clone(),
            taken,
        });
        if !taken {
            return OrderOutcome::Fenced(self.fence);
        }
        self.fence = self.fence.max(fence);
        match order {
            Order::Role(role) => self.role = role,
            Order::Unload(name) => self.models.retain(|model| *model != name),
            Order::Load(name) => return OrderOutcome::Loading(name),
        }
        OrderOutcome::Taken
    }

    /// A model was loaded in start `incarnation`.
    pub(crate) fn loaded(&mut self, name: Name, incarnation: u64) {
        let current = self.core.incarnation() == incarnation;
        if current && !self.models.contains(&name) {
            self.models.push(name);
        }
    }

    /// The load now.
    pub(crate) fn load(&self) -> EngineLoad {
        EngineLoad {
            running: u32::try_from(self.core.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.core.waiting()).unwrap_or(u32::MAX),
            used_tokens: self.core.used(),
            capacity_tokens: self.settings.core.capacity,
            preemptions: self.core.preemptions(),
            step_micros: self.step_micros,
            incarnation: self.core.incarnation(),
            models: self.models.clone(),
            role: self.role.clone(),
            fence: self.fence,
        }
    }

    /// The load as it was a lag ago.
    pub(crate) fn reported_load(&mut self) -> EngineLoad {
        self.settle_reports(Instant::now());
        match self.reports.front() {
            Some(report) => report.load.clone(),
            None => self.load(),
        }
    }

    /// What the engine ran.
    pub(crate) fn record(&self) -> EngineRecord {
        EngineRecord {
            runs: self.core.records(),
            orders: self.orders.clone(),
            deaths: self.deaths,
        }
    }

    fn settle_reports(&mut self, now: Instant) {
        let load = self.load();
        self.reports.push_back(Report { taken: now, load });
        let lag = self.settings.load_lag;
        let old = |report: &Report| now.saturating_duration_since(report.taken) >= lag;
        while self.reports.get(1).is_some_and(old) {
            self.reports.pop_front();
        }
    }
}
