//! A run: requests arrive when they are due, whatever became of those before.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use crate::arrivals::Arrival;
use crate::arrivals::Arrivals;
use crate::caller::Callers;
use crate::caller::End;
use crate::caller::Seen;
use crate::effects;
use crate::plan::Action;
use crate::plan::Plan;
use crate::report::Report;
use crate::report::Tally;

/// How often a long run tells how far it is.
const PROGRESS: Duration = Duration::from_secs(5);

/// Ends that wait to be counted.
const BUFFERED: usize = 10_000;

struct Ended {
    arrival: Arrival,
    seen: Seen,
}

/// What became of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Claim {
    /// Its caller was told that it took effect.
    Done,
    /// Its caller was told that it did not run.
    NotRun,
    /// Its caller does not know.
    Open,
}

struct Counting {
    plan: Arc<Plan>,
    total: Tally,
    tenants: Vec<Tally>,
    kinds: Vec<Tally>,
    claims: HashMap<String, Claim>,
    report: Report,
}

/// Carries out a plan. Lines on how far it is go to `tell`.
pub async fn run(plan: Plan, command: String, tell: impl Fn(String)) -> Report {
    let plan = Arc::new(plan);
    let before = effects::preemptions(&plan.status).await;
    let (ends, mut ended) = mpsc::channel(BUFFERED);
    let sender = tokio::spawn(send_all(plan.clone(), ends));
    let mut counting = Counting::new(plan.clone(), command);
    let mut progress = tokio::time::interval(PROGRESS);
    progress.tick().await;
    let start = Instant::now();
    loop {
        tokio::select! {
            end = ended.recv() => match end {
                Some(end) => counting.add(&end),
                None => break,
            },
            _ = progress.tick() => tell(counting.progress(start.elapsed())),
        }
    }
    counting.report.not_sent = sender.await.unwrap_or(0);
    counting.settle().await;
    let after = effects::preemptions(&plan.status).await;
    counting.count_preemptions(before, after);
    counting.finish()
}

/// Sends each request when it is due; how many were not sent.
async fn send_all(plan: Arc<Plan>, ends: mpsc::Sender<Ended>) -> u64 {
    let callers = Arc::new(Callers::new(plan.clone()));
    let open = Arc::new(Semaphore::new(plan.max_open));
    let start = Instant::now();
    let mut not_sent = 0;
    for arrival in Arrivals::new(&plan) {
        let due = start + arrival.at;
        tokio::time::sleep_until(due.into()).await;
        let Ok(permit) = open.clone().try_acquire_owned() else {
            not_sent += 1;
            continue;
        };
        let callers = callers.clone();
        let ends = ends.clone();
        tokio::spawn(async move {
            let seen = callers.ask(&arrival, due).await;
            // The receiver goes only when the run is given up.
            let _ = ends.send(Ended { arrival, seen }).await;
            drop(permit);
        });
    }
    not_sent
}

impl Counting {
    fn new(plan: Arc<Plan>, command: String) -> Self {
        let report = Report {
            command,
            seed: plan.seed,
            rate: plan.rate,
            seconds: plan.length.as_secs_f64(),
            ..Report::default()
        };
        Counting {
            total: Tally::new(),
            tenants: plan.tenants.iter().map(|_| Tally::new()).collect(),
            kinds: plan.kinds.iter().map(|_| Tally::new()).collect(),
            claims: HashMap::new(),
            report,
            plan,
        }
    }

    fn add(&mut self, ended: &Ended) {
        let Ended { arrival, seen } = ended;
        let kind = &self.plan.kinds[arrival.kind];
        let in_time = seen.end == End::Completed && seen.took <= kind.deadline;
        self.total.add(seen, in_time);
        self.tenants[arrival.tenant].add(seen, in_time);
        self.kinds[arrival.kind].add(seen, in_time);
        if let Some(broken) = &seen.broken {
            let text = format!("request {} ({}): {broken}", arrival.index, kind.name);
            self.report.break_promise(text);
        }
        if kind.action == Action::Effect {
            let claim = match &seen.end {
                End::Completed => Claim::Done,
                End::Refused(_) if seen.unrun => Claim::NotRun,
                _ => Claim::Open,
            };
            self.claims.insert(arrival.key.clone(), claim);
        }
    }

    fn progress(&self, passed: Duration) -> String {
        format!(
            "{:.0} s: {} ended, {} whole, {} broken promises",
            passed.as_secs_f64(),
            self.total.sent(),
            self.total.completed(),
            self.report.broken
        )
    }

    /// Compares what callers were told with the effects that took place.
    async fn settle(&mut self) {
        if self.plan.records.is_empty() {
            if !self.claims.is_empty() {
                let text = "effects: no [run] records or --record given";
                self.report.unchecked.push(text.to_string());
            }
            return;
        }
        let counts = match effects::effects(&self.plan.records).await {
            Ok(counts) => counts,
            Err(error) => {
                self.report.unchecked.push(format!("effects: {error:#}"));
                return;
            }
        };
        let mut sum = 0;
        let mut claims: Vec<(&String, &Claim)> = self.claims.iter().collect();
        claims.sort_by_key(|(key, _)| *key);
        for (key, claim) in claims {
            let count = counts.get(key).copied().unwrap_or(0);
            sum += count;
            if let Some(text) = judge(*claim, count) {
                self.report.break_promise(format!("key {key}: {text}"));
            }
        }
        self.report.effects = Some(sum);
    }

    fn count_preemptions(&mut self, before: eyre::Result<u64>, after: eyre::Result<u64>) {
        if self.plan.status.is_empty() {
            return;
        }
        match (before, after) {
            (Ok(before), Ok(after)) => {
                self.report.counted_preemptions = Some(after.saturating_sub(before));
            }
            (Err(error), _) | (_, Err(error)) => {
                self.report
                    .unchecked
                    .push(format!("preemptions: {error:#}"));
            }
        }
    }

    fn finish(mut self) -> Report {
        let seconds = self.report.seconds;
        self.report.total = self.total.summary(seconds);
        for (tenant, tally) in self.plan.tenants.iter().zip(&self.tenants) {
            let summary = tally.summary(seconds);
            self.report.workspaces.insert(tenant.name.clone(), summary);
        }
        for (kind, tally) in self.plan.kinds.iter().zip(&self.kinds) {
            let summary = tally.summary(seconds);
            self.report.kinds.insert(kind.name.clone(), summary);
        }
        self.report
    }
}

/// What is wrong where a caller was told this and the effect took place so often.
fn judge(claim: Claim, count: u64) -> Option<&'static str> {
    match (claim, count) {
        (_, 2..) => Some("took effect more than once"),
        (Claim::Done, 0) => Some("was answered as done, and took no effect"),
        (Claim::NotRun, 1) => Some("was answered as not run, and took effect"),
        _ => None,
    }
}
