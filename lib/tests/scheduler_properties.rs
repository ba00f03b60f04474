//! Properties of the scheduler under arbitrary arrivals, shares and lengths.

use std::collections::HashMap;
use std::time::Duration;

use cicada_lib::fair_queue::Account;
use cicada_lib::fair_queue::FairQueue;
use cicada_lib::fair_queue::MAX_CREDIT;
use cicada_lib::fair_queue::TOKEN_COST;
use cicada_lib::ids::Name;
use cicada_lib::latency_objective::LatencyObjective;
use cicada_lib::memory_plan::Footprint;
use cicada_lib::memory_plan::Headroom;
use cicada_lib::memory_plan::MemoryPlan;
use cicada_lib::scheduler::Action;
use cicada_lib::scheduler::JobKey;
use cicada_lib::scheduler::JobSpec;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::scheduler::SchedulerSettings;
use cicada_lib::scheduler::WorkspacePolicy;
use cicada_lib::time::Time;
use quickcheck::TestResult;
use quickcheck::quickcheck;

const STEP: Duration = Duration::from_millis(20);

/// Simulates an engine that produces a token of each running job in each step.
struct Simulation {
    scheduler: Scheduler,
    now: Time,
    lengths: HashMap<JobKey, u32>,
    running: Vec<(JobKey, u32)>,
    /// Time from arrival to start of each started job.
    waits: HashMap<JobKey, Duration>,
    arrivals: HashMap<JobKey, Time>,
    owners: HashMap<JobKey, Name>,
    queued_jobs: HashMap<Name, u32>,
}

impl Simulation {
    fn new(max_batch: u32) -> Self {
        let settings = SchedulerSettings::new(LatencyObjective::Stall, 0, max_batch);
        Simulation {
            scheduler: Scheduler::new(settings.with_max_wait(Duration::from_secs(600))),
            now: Time::ZERO,
            lengths: HashMap::new(),
            running: Vec::new(),
            waits: HashMap::new(),
            arrivals: HashMap::new(),
            owners: HashMap::new(),
            queued_jobs: HashMap::new(),
        }
    }

    fn set_share(&mut self, workspace: &str, share: u32) {
        let policy = WorkspacePolicy {
            share,
            ..WorkspacePolicy::default()
        };
        self.scheduler.set_policy(&Name::new(workspace), policy);
    }

    fn offer(&mut self, workspace: &str, length: u32, elsewhere: u64) -> Option<JobKey> {
        let job = JobSpec {
            workspace: Name::new(workspace),
            kind: Name::new("model"),
            prompt_tokens: 0,
            max_tokens: 512,
            deadline: None,
            elsewhere,
            retried: false,
        };
        let key = self.scheduler.offer(self.now, job).ok()?;
        self.lengths.insert(key, length.max(1));
        self.arrivals.insert(key, self.now);
        self.owners.insert(key, Name::new(workspace));
        *self.queued_jobs.entry(Name::new(workspace)).or_default() += 1;
        Some(key)
    }

    /// Offers jobs until forty of the workspace are queued.
    fn keep_backlogged(&mut self, workspace: &str, mut length: impl FnMut() -> u32) {
        while self.queued_jobs.get(workspace).copied().unwrap_or_default() < 40 {
            if self.offer(workspace, length(), 0).is_none() {
                return;
            }
        }
    }

    fn step(&mut self) {
        while let Some(action) = self.scheduler.next_action(self.now) {
            if let Action::Start(key) = action {
                self.waits.insert(key, self.now.since(self.arrivals[&key]));
                self.running.push((key, self.lengths[&key]));
                *self.queued_jobs.get_mut(&self.owners[&key]).unwrap() -= 1;
            }
        }
        self.now = self.now + STEP;
        for (key, left) in &mut self.running {
            self.scheduler.token_produced(self.now, *key);
            *left -= 1;
            if *left == 0 {
                self.scheduler.finished(self.now, *key);
            }
        }
        self.running.retain(|(_, left)| *left > 0);
    }

    fn served(&self, workspace: &str) -> f64 {
        self.scheduler.tokens_served(&Name::new(workspace)) as f64
    }
}

quickcheck! {
    // Every admitted job starts, and none later than it takes to serve the work that was queued
    // before it or arrived within the bound on being overtaken.
    fn every_admitted_job_starts(arrivals: Vec<(u8, u8, u8)>) -> bool {
        let mut simulation = Simulation::new(2);
        let mut work = 0;
        for &(workspace, length, steps) in &arrivals {
            let length = u32::from(length) + 1;
            simulation.offer(&format!("w{}", workspace % 5), length, u64::from(steps) * 10);
            work += u64::from(length);
            for _ in 0..steps % 8 {
                simulation.step();
            }
        }
        for _ in 0..=work {
            simulation.step();
        }
        simulation.waits.len() == simulation.lengths.len() && simulation.running.is_empty()
    }

    // Two workspaces that stay backlogged are served in proportion to their shares, up to a few
    // jobs.
    fn shares_hold(a: u8, b: u8, lengths: Vec<u8>) -> TestResult {
        let (a, b) = (u32::from(a % 8) + 1, u32::from(b % 8) + 1);
        if lengths.is_empty() {
            return TestResult::discard();
        }
        let mut simulation = Simulation::new(16);
        simulation.set_share("a", a);
        simulation.set_share("b", b);
        let mut lengths = lengths.iter().cycle().map(|&length| u32::from(length) + 1);
        for _ in 0..4_000 {
            simulation.keep_backlogged("a", || lengths.next().unwrap());
            simulation.keep_backlogged("b", || lengths.next().unwrap());
            simulation.step();
        }
        let (x, y) = (simulation.served("a") / f64::from(a), simulation.served("b") / f64::from(b));
        // Each of sixteen slots holds a job of up to 256 tokens whose length is unknown.
        let bound = 16.0 * 256.0 / f64::from(a.min(b));
        TestResult::from_bool((x - y).abs() <= bound)
    }

    // Whatever is charged, a workspace that starts to wait is behind the floor by at most its
    // credit, and remote work puts it above the floor by at most the debt limit.
    fn credit_and_debt_are_bounded(events: Vec<(u8, u8, u16)>) -> bool {
        const DEBT: u64 = 1_000 * TOKEN_COST;
        let mut queue = FairQueue::new(DEBT);
        let mut accounts: Vec<Account> = (1..=4).map(Account::new).collect();
        let mut held = [0; 4];
        events.iter().all(|&(key, event, cost)| {
            let key = usize::from(key % 4);
            let share = u64::from(accounts[key].share());
            let cost = u64::from(cost) * TOKEN_COST / 100;
            let account = &mut accounts[key];
            let was_queued = account.is_queued();
            let before = queue.lead(account);
            match event % 6 {
                0 | 1 => queue.enqueue(key, account, cost),
                2 => queue.dequeue(key, account),
                3 => {
                    held[key] += cost;
                    queue.reserve(key, account, cost);
                }
                4 => {
                    held[key] = held[key].saturating_sub(cost);
                    queue.charge(key, account, cost, cost);
                }
                _ => queue.charge_remote(key, account, cost * 100),
            }
            let lead = queue.lead(&accounts[key]);
            match event % 6 {
                0 | 1 => was_queued || lead >= -((MAX_CREDIT * share + share) as i64),
                5 => lead <= before.max((DEBT + held[key] + share) as i64),
                _ => true,
            }
        })
    }

    // If lengths are known, the jobs that the plan admits never exceed the memory.
    fn plan_stays_within_memory(jobs: Vec<(u8, u8)>) -> bool {
        const CAPACITY: u64 = 600;
        let plan = MemoryPlan::new(CAPACITY, Headroom::Expected(0.0), 2);
        let mut running: Vec<Footprint> = Vec::new();
        jobs.iter().all(|&(held, left)| {
            let job = Footprint {
                held: u64::from(held) + 1,
                mean: f64::from(left) + 1.0,
                variance: 0.0,
                most: u64::from(left) + 1,
            };
            let mut all = running.clone();
            all.push(job);
            if plan.fits(&mut all, 1.0) {
                running.push(job);
            }
            for footprint in &mut running {
                footprint.held += 1;
                footprint.mean -= 1.0;
                footprint.most -= 1;
            }
            let fits = running.iter().map(|footprint| footprint.held).sum::<u64>() <= CAPACITY;
            running.retain(|footprint| footprint.most > 0);
            fits
        })
    }
}

// A long job waits while short jobs arrive continuously. It must start within the bound on being
// overtaken plus the time of the jobs before it.
#[test]
fn long_job_starts_under_continuous_short_jobs() {
    let mut simulation = Simulation::new(1);
    // Lengths are learned; short and long jobs of one kind are distinguished by their token limit.
    let long = simulation.offer("a", 400, 0).unwrap();
    for _ in 0..10 {
        simulation.offer("a", 5, 0);
    }
    for _ in 0..4_000 {
        if simulation.scheduler.load_summary(simulation.now).queued < 10 {
            simulation.offer("a", 5, 0);
        }
        simulation.step();
    }
    assert!(
        simulation.waits[&long] < Duration::from_secs(20),
        "{:?}",
        simulation.waits[&long]
    );
}

// A workspace was idle for long while others were backlogged. When it returns, it must not displace
// the others with a burst.
#[test]
fn returning_workspace_has_no_credit_for_a_burst() {
    let mut simulation = Simulation::new(4);
    simulation.offer("b", 20, 0);
    for _ in 0..2_000 {
        simulation.keep_backlogged("a", || 20);
        simulation.step();
    }
    let (a, b) = (simulation.served("a"), simulation.served("b"));
    for _ in 0..200 {
        simulation.keep_backlogged("a", || 20);
        simulation.keep_backlogged("b", || 20);
        simulation.step();
    }
    let (a, b) = (simulation.served("a") - a, simulation.served("b") - b);
    assert!(b < 1.5 * a, "{a} {b}");
    assert!(a < 1.5 * b, "{a} {b}");
}

// One workspace uses two agents, another only one of them. If requests report no remote work, the
// first gets three quarters of the total; if they do, it gets little more than the half that it has
// anyway on the agent where it is alone.
#[test]
fn work_elsewhere_counts() {
    let served_fraction = |reported: bool| {
        let (mut here, mut there) = (Simulation::new(4), Simulation::new(4));
        let mut already_reported = 0.0;
        for _ in 0..4_000 {
            if here.queued_jobs.get("a").copied().unwrap_or_default() < 10 {
                let elsewhere = there.served("a") - already_reported;
                already_reported += elsewhere;
                here.offer("a", 20, if reported { elsewhere as u64 } else { 0 });
            }
            here.keep_backlogged("b", || 20);
            there.keep_backlogged("a", || 20);
            here.step();
            there.step();
        }
        let a = here.served("a") + there.served("a");
        a / (a + here.served("b"))
    };
    let (unreported, reported) = (served_fraction(false), served_fraction(true));
    assert!((0.7..0.8).contains(&unreported), "{unreported}");
    assert!((0.45..0.6).contains(&reported), "{reported}");
}

// 20,000 workspaces send one request each. State must not grow with the number of workspaces ever
// seen.
#[test]
fn idle_workspaces_are_evicted() {
    let mut simulation = Simulation::new(64);
    for index in 0..20_000 {
        simulation.offer(&format!("w{index}"), 1, 0);
        simulation.step();
    }
    // Some 3,000 arrive within the retention time of idle workspaces.
    assert!(
        simulation.scheduler.workspace_count() < 4_000,
        "{}",
        simulation.scheduler.workspace_count()
    );
}

// Two workspaces send bursts to an empty engine at once. Nothing is charged before the first token,
// but neither burst may take all slots.
#[test]
fn slots_are_shared_before_the_first_token() {
    let mut simulation = Simulation::new(16);
    // Run a job of each, so that lengths are learned.
    for name in ["a", "b"] {
        simulation.offer(name, 50, 0);
    }
    for _ in 0..60 {
        simulation.step();
    }
    simulation.keep_backlogged("a", || 50);
    simulation.keep_backlogged("b", || 50);
    simulation.step();
    let running_of = |name: &str| {
        let name = Name::new(name);
        let is_owned = |(key, _): &&(JobKey, u32)| simulation.owners[key] == name;
        simulation.running.iter().filter(is_owned).count()
    };
    assert!(
        (7..=9).contains(&running_of("a")),
        "{} {}",
        running_of("a"),
        running_of("b")
    );
}
