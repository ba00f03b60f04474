//! What holds for any arrivals, shares and lengths.

use std::collections::HashMap;
use std::time::Duration;

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
use cicada_lib::shares::Account;
use cicada_lib::shares::FairQueue;
use cicada_lib::shares::MAX_CREDIT;
use cicada_lib::shares::TOKEN_COST;
use cicada_lib::time::Time;
use quickcheck::TestResult;
use quickcheck::quickcheck;

const STEP: Duration = Duration::from_millis(20);

/// A batch in which each running job gets a token a step.
struct Slots {
    scheduler: Scheduler,
    now: Time,
    lengths: HashMap<JobKey, u32>,
    running: Vec<(JobKey, u32)>,
    /// How long each job waited for its start.
    waits: HashMap<JobKey, Duration>,
    arrivals: HashMap<JobKey, Time>,
    owners: HashMap<JobKey, Name>,
    waiting: HashMap<Name, u32>,
}

impl Slots {
    fn new(max_batch: u32) -> Self {
        let settings = SchedulerSettings::new(LatencyObjective::Stall, 0, max_batch);
        Slots {
            scheduler: Scheduler::new(settings.with_max_wait(Duration::from_secs(600))),
            now: Time::ZERO,
            lengths: HashMap::new(),
            running: Vec::new(),
            waits: HashMap::new(),
            arrivals: HashMap::new(),
            owners: HashMap::new(),
            waiting: HashMap::new(),
        }
    }

    fn share(&mut self, workspace: &str, share: u32) {
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
            returning: false,
        };
        let key = self.scheduler.offer(self.now, job).ok()?;
        self.lengths.insert(key, length.max(1));
        self.arrivals.insert(key, self.now);
        self.owners.insert(key, Name::new(workspace));
        *self.waiting.entry(Name::new(workspace)).or_default() += 1;
        Some(key)
    }

    /// Keeps forty jobs of the workspace waiting.
    fn feed(&mut self, workspace: &str, mut length: impl FnMut() -> u32) {
        while self.waiting.get(workspace).copied().unwrap_or_default() < 40 {
            if self.offer(workspace, length(), 0).is_none() {
                return;
            }
        }
    }

    fn step(&mut self) {
        while let Some(action) = self.scheduler.next(self.now) {
            if let Action::Start(key) = action {
                self.waits.insert(key, self.now.since(self.arrivals[&key]));
                self.running.push((key, self.lengths[&key]));
                *self.waiting.get_mut(&self.owners[&key]).unwrap() -= 1;
            }
        }
        self.now = self.now + STEP;
        for (key, left) in &mut self.running {
            self.scheduler.token(self.now, *key);
            *left -= 1;
            if *left == 0 {
                self.scheduler.finished(self.now, *key);
            }
        }
        self.running.retain(|(_, left)| *left > 0);
    }

    fn given(&self, workspace: &str) -> f64 {
        self.scheduler.service_given(&Name::new(workspace)) as f64
    }
}

quickcheck! {
    // Every accepted job starts, and none of them later than the work that was there, and came
    // within the bound on being overtaken, takes.
    fn nobody_starves(arrivals: Vec<(u8, u8, u8)>) -> bool {
        let mut slots = Slots::new(2);
        let mut work = 0;
        for &(workspace, length, steps) in &arrivals {
            let length = u32::from(length) + 1;
            slots.offer(&format!("w{}", workspace % 5), length, u64::from(steps) * 10);
            work += u64::from(length);
            for _ in 0..steps % 8 {
                slots.step();
            }
        }
        for _ in 0..=work {
            slots.step();
        }
        slots.waits.len() == slots.lengths.len() && slots.running.is_empty()
    }

    // Two workspaces that keep waiting get what their shares say, but for a few jobs.
    fn shares_hold(a: u8, b: u8, lengths: Vec<u8>) -> TestResult {
        let (a, b) = (u32::from(a % 8) + 1, u32::from(b % 8) + 1);
        if lengths.is_empty() {
            return TestResult::discard();
        }
        let mut slots = Slots::new(16);
        slots.share("a", a);
        slots.share("b", b);
        let mut lengths = lengths.iter().cycle().map(|&length| u32::from(length) + 1);
        for _ in 0..4_000 {
            slots.feed("a", || lengths.next().unwrap());
            slots.feed("b", || lengths.next().unwrap());
            slots.step();
        }
        let (x, y) = (slots.given("a") / f64::from(a), slots.given("b") / f64::from(b));
        // Sixteen slots hold jobs of up to 256 tokens, whose lengths are not known.
        let bound = 16.0 * 256.0 / f64::from(a.min(b));
        TestResult::from_bool((x - y).abs() <= bound)
    }

    // However work is charged, a workspace that begins to wait is behind by its credit at most, and
    // work elsewhere puts it ahead by the limit at most.
    fn counters_do_not_run_away(events: Vec<(u8, u8, u16)>) -> bool {
        const DEBT: u64 = 1_000 * TOKEN_COST;
        let mut shares = FairQueue::new(DEBT);
        let mut accounts: Vec<Account> = (1..=4).map(Account::new).collect();
        let mut held = [0; 4];
        events.iter().all(|&(key, event, cost)| {
            let key = usize::from(key % 4);
            let share = u64::from(accounts[key].share());
            let cost = u64::from(cost) * TOKEN_COST / 100;
            let account = &mut accounts[key];
            let was = account.is_queued();
            let before = shares.lead(account);
            match event % 6 {
                0 | 1 => shares.enqueue(key, account, cost),
                2 => shares.dequeue(key, account),
                3 => {
                    held[key] += cost;
                    shares.reserve(key, account, cost);
                }
                4 => {
                    held[key] = held[key].saturating_sub(cost);
                    shares.charge(key, account, cost, cost);
                }
                _ => shares.charge_remote(key, account, cost * 100),
            }
            let lead = shares.lead(&accounts[key]);
            match event % 6 {
                0 | 1 => was || lead >= -((MAX_CREDIT * share + share) as i64),
                5 => lead <= before.max((DEBT + held[key] + share) as i64),
                _ => true,
            }
        })
    }

    // With true lengths, what the plan lets run together never outgrows the memory.
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

// A partner's long draft waits while another sends short checks without end. It must start within
// the stated bound on being overtaken, and the time of the jobs before it.
#[test]
fn long_job_starts_beside_endless_short_ones() {
    let mut slots = Slots::new(1);
    // The lengths become known: short checks of one kind, and drafts, are told apart by the limit.
    let long = slots.offer("a", 400, 0).unwrap();
    for _ in 0..10 {
        slots.offer("a", 5, 0);
    }
    for _ in 0..4_000 {
        if slots.scheduler.summary(slots.now).queued < 10 {
            slots.offer("a", 5, 0);
        }
        slots.step();
    }
    assert!(
        slots.waits[&long] < Duration::from_secs(20),
        "{:?}",
        slots.waits[&long]
    );
}

// A workspace was idle for long while others waited. When it comes back it must not push the others
// aside for a burst of its own.
#[test]
fn returner_does_not_burst() {
    let mut slots = Slots::new(4);
    slots.offer("b", 20, 0);
    for _ in 0..2_000 {
        slots.feed("a", || 20);
        slots.step();
    }
    let (a, b) = (slots.given("a"), slots.given("b"));
    for _ in 0..200 {
        slots.feed("a", || 20);
        slots.feed("b", || 20);
        slots.step();
    }
    let (a, b) = (slots.given("a") - a, slots.given("b") - b);
    assert!(b < 1.5 * a, "{a} {b}");
    assert!(a < 1.5 * b, "{a} {b}");
}

// One workspace works on two agents, another on one of them only. With nothing told between the
// agents the first gets three quarters of the whole; with the work got elsewhere on each request it
// gets little more than the half that it must have on the agent where it is alone.
#[test]
fn work_elsewhere_counts() {
    let part = |told: bool| {
        let (mut here, mut there) = (Slots::new(4), Slots::new(4));
        let mut seen = 0.0;
        for _ in 0..4_000 {
            if here.waiting.get("a").copied().unwrap_or_default() < 10 {
                let elsewhere = there.given("a") - seen;
                seen += elsewhere;
                here.offer("a", 20, if told { elsewhere as u64 } else { 0 });
            }
            here.feed("b", || 20);
            there.feed("a", || 20);
            here.step();
            there.step();
        }
        let a = here.given("a") + there.given("a");
        a / (a + here.given("b"))
    };
    let (apart, told) = (part(false), part(true));
    assert!((0.7..0.8).contains(&apart), "{apart}");
    assert!((0.45..0.6).contains(&told), "{told}");
}

// 20,000 workspaces come once each. State must not grow with all that ever came.
#[test]
fn idle_workspaces_are_forgotten() {
    let mut slots = Slots::new(64);
    for index in 0..20_000 {
        slots.offer(&format!("w{index}"), 1, 0);
        slots.step();
    }
    // Some 3,000 come within the time for which idle ones are kept.
    assert!(
        slots.scheduler.workspaces() < 4_000,
        "{}",
        slots.scheduler.workspaces()
    );
}

// Two workspaces come at once to an empty engine. Nothing has been charged before the first token;
// still neither may take all the slots with its whole burst.
#[test]
fn slots_are_shared_before_the_first_token() {
    let mut slots = Slots::new(16);
    // Both have been seen, so that lengths are known.
    for name in ["a", "b"] {
        slots.offer(name, 50, 0);
    }
    for _ in 0..60 {
        slots.step();
    }
    slots.feed("a", || 50);
    slots.feed("b", || 50);
    slots.step();
    let of = |name: &str| {
        let name = Name::new(name);
        let owned = |(key, _): &&(JobKey, u32)| slots.owners[key] == name;
        slots.running.iter().filter(owned).count()
    };
    assert!((7..=9).contains(&of("a")), "{} {}", of("a"), of("b"));
}
