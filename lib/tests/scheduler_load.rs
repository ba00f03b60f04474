//! Load patterns on one simulated engine, measured by what callers receive.

mod fake_engine;

use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::latency_objective::LatencyObjective;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::scheduler::SchedulerSettings;
use cicada_lib::scheduler::WorkspacePolicy;
use cicada_lib::time::Time;
use fake_engine::Front;
use fake_engine::Request;
use fake_engine::Trial;
use fake_engine::mixes::Mix;
use fake_engine::mixes::hanshan;
use fake_engine::mixes::saryarka;
use fake_engine::report::Figures;
use fake_engine::report::quantile;
use fake_engine::report::stalls;

// Requests per second that the fake engines can complete, from the trial's reference run.
const HANSHAN_RATE: f64 = 5.4;
const SECONDS: u64 = 200;

fn scheduled(mix: &Mix, objective: LatencyObjective) -> Front {
    let engine = &mix.engine;
    let settings = SchedulerSettings::new(objective, engine.capacity, engine.max_batch as u32);
    let mut scheduler = Scheduler::new(settings);
    for tenant in &mix.tenants {
        let policy = WorkspacePolicy {
            share: tenant.share,
            ..WorkspacePolicy::default()
        };
        scheduler.set_policy(&tenant.name, policy);
    }
    Front::Scheduled(Box::new(scheduler))
}

fn run(mix: &Mix, front: Front, requests: Vec<Request>) -> Trial {
    let mut trial = Trial::new(mix.engine.clone(), front, requests);
    let window = Time::from_millis(SECONDS * 1_000);
    trial.run(window, window + Duration::from_secs(120));
    trial
}

fn figures(mix: &Mix, trial: &Trial) -> Figures {
    Figures::new(trial, &mix.tenants, Time::from_millis(SECONDS * 1_000))
}

fn p99(trial: &Trial, filter: impl Fn(&Request) -> bool) -> f64 {
    quantile(&mut stalls(trial, filter), 0.99).as_secs_f64()
}

fn is_long(request: &Request) -> bool {
    request.length > 256
}

// One workspace sends 300 long jobs at once, and the callers of all workspaces see long stalls. The
// queue may admit what can be served within the wait bound; the rest must be refused at once, and
// short jobs of other workspaces must not be affected.
#[test]
fn burst_is_refused_early_and_does_not_affect_others() {
    let mix = hanshan();
    let mut requests = mix.requests(0.5 * HANSHAN_RATE, SECONDS as f64, 1);
    let mut long_job = requests
        .iter()
        .find(|request| is_long(request))
        .unwrap()
        .clone();
    long_job.arrival = Time::from_millis(100_000);
    long_job.workspace = Name::new("batch");
    long_job.deadline = None;
    requests.extend(vec![long_job; 300]);
    let trial = run(&mix, scheduled(&mix, LatencyObjective::Stall), requests);
    let is_burst = |request: &Request| &*request.workspace.to_string() == "batch";
    let pairs = || trial.requests.iter().zip(&trial.received);
    let refused = pairs().filter(|(r, got)| is_burst(r) && got.refusal.is_some());
    assert!(refused.clone().all(|(_, got)| got.stall.is_zero()));
    let refused = refused.count();
    assert!((100..300).contains(&refused), "{refused} refused");
    assert!(
        pairs()
            .filter(|(r, _)| is_burst(r))
            .all(|(_, got)| got.complete || got.refusal.is_some())
    );
    let stall = p99(&trial, |request| !is_burst(request) && !is_long(request));
    assert!(stall < 8.0, "{stall}");
}

// A retry loop sends ten times the usual load of a workspace. The stalls of another workspace must
// stay below a tenth of those under first come, first served.
#[test]
fn overloading_workspace_does_not_stall_others() {
    let mix = hanshan();
    let baseline = mix.requests(0.6 * HANSHAN_RATE, SECONDS as f64, 2);
    let mut overload = baseline.clone();
    let extra = mix.requests(10.0 * 0.6 * HANSHAN_RATE, SECONDS as f64, 3);
    overload.extend(
        extra
            .into_iter()
            .filter(|request| &*request.workspace.to_string() == "w1"),
    );
    let is_other = |request: &Request| &*request.workspace.to_string() != "w1";
    let without = p99(
        &run(&mix, scheduled(&mix, LatencyObjective::Stall), baseline),
        is_other,
    );
    let with = p99(
        &run(
            &mix,
            scheduled(&mix, LatencyObjective::Stall),
            overload.clone(),
        ),
        is_other,
    );
    let fifo = p99(&run(&mix, Front::Direct, overload), is_other);
    assert!(with < fifo / 10.0, "{without} {with} {fifo}");
}

// Short jobs arrive while long ones fill the engine. First come, first served queues each short job
// behind the long ones; shortest first would never serve a long one.
#[test]
fn short_jobs_overtake_long_ones_without_starving_them() {
    let mix = hanshan();
    let requests = mix.requests(2.0 * HANSHAN_RATE, SECONDS as f64, 4);
    let trial = run(
        &mix,
        scheduled(&mix, LatencyObjective::Stall),
        requests.clone(),
    );
    let fifo = run(&mix, Front::Direct, requests);
    let completed = |trial: &Trial, long: bool| {
        let pairs = trial.requests.iter().zip(&trial.received);
        let of = pairs.filter(|(request, _)| is_long(request) == long);
        let (completed, total) = of.fold((0.0, 0.0), |(completed, total), (_, got)| {
            (completed + f64::from(u8::from(got.complete)), total + 1.0)
        });
        completed / total
    };
    let (short, long) = (completed(&trial, false), completed(&trial, true));
    assert!(
        short > completed(&fifo, false) + 0.2,
        "{short} {}",
        completed(&fifo, false)
    );
    assert!(short > 0.6, "{short}");
    assert!(long > 0.3, "{long}");
    assert!(p99(&trial, is_long) < 30.0, "{}", p99(&trial, is_long));
}

// Sustained overload, such as bookings for a holiday. Without limits each answer arrives after its
// caller has given up; with them the engine completes the jobs that it starts.
#[test]
fn goodput_holds_under_overload() {
    let mix = hanshan();
    let figures_at = |load: f64, front: Front| {
        let requests = mix.requests(load * HANSHAN_RATE, SECONDS as f64 + 100.0, 5);
        let trial = run(&mix, front, requests);
        figures(&mix, &trial)
    };
    let baseline = figures_at(1.0, scheduled(&mix, LatencyObjective::Stall)).goodput;
    for load in [1.5, 3.0, 10.0] {
        let figures = figures_at(load, scheduled(&mix, LatencyObjective::Stall));
        assert!(figures.goodput > 0.95 * baseline, "{load}: {figures:?}");
        assert!(figures.preemptions < 100.0, "{load}: {figures:?}");
    }
    let fifo = figures_at(10.0, Front::Direct).goodput;
    assert!(fifo < 0.5 * baseline, "{fifo}");
}

// A new release of the model produces four times longer output, so learned lengths are suddenly
// wrong. The memory plan must adapt within a few minutes and keep the engine from thrashing.
#[test]
fn memory_plan_follows_a_drift_of_lengths() {
    let mix = hanshan();
    let mut requests = mix.requests(HANSHAN_RATE, SECONDS as f64, 6);
    for request in &mut requests {
        if request.arrival > Time::from_millis(60_000) {
            request.length = (request.length * 4).min(request.limit);
        }
    }
    let trial = run(
        &mix,
        scheduled(&mix, LatencyObjective::Stall),
        requests.clone(),
    );
    let fifo = run(&mix, Front::Direct, requests);
    assert!(
        trial.preemptions * 5 < fifo.preemptions,
        "{}",
        trial.preemptions
    );
}

// Memory fills up during decoding. The engine would preempt the most recently started jobs again
// and again; the scheduler preempts first, and each job at most twice.
#[test]
fn preemptions_per_job_are_bounded() {
    let mut mix = hanshan();
    mix.engine.capacity = 12_000;
    let requests = mix.requests(HANSHAN_RATE, SECONDS as f64, 7);
    let trial = run(
        &mix,
        scheduled(&mix, LatencyObjective::Stall),
        requests.clone(),
    );
    let most = trial
        .received
        .iter()
        .map(|received| received.preemptions)
        .max();
    assert!(most <= Some(2), "{most:?}");
    let fifo = run(&mix, Front::Direct, requests);
    assert!(trial.preemptions * 5 < fifo.preemptions);
}

// A refused caller retries at the time that it was told. If all were told the same time, or a time
// that is too early, most would be refused again and again.
#[test]
fn most_retries_at_the_promised_time_are_admitted() {
    let mix = hanshan();
    for load in [1.2, 1.5] {
        let mut requests = mix.requests(load * HANSHAN_RATE, SECONDS as f64, 8);
        for request in &mut requests {
            request.tries = 1;
            request.deadline = None;
        }
        let trial = run(&mix, scheduled(&mix, LatencyObjective::Stall), requests);
        let returns: u32 = trial.received.iter().map(|received| received.returns).sum();
        let taken = trial.received.iter().map(|received| received.returns_taken);
        let taken: u32 = taken.sum();
        assert!(taken * 2 > returns, "{load}: {taken} of {returns}");
    }
}

// A deadline cannot be met. The caller must be refused at once and not when the deadline passes, so
// that it can still go elsewhere.
#[test]
fn unreachable_deadline_is_refused_at_once() {
    let mix = hanshan();
    let mut requests = mix.requests(3.0 * HANSHAN_RATE, SECONDS as f64, 9);
    for request in requests.iter_mut().filter(|request| !is_long(request)) {
        request.deadline = Some(request.arrival + Duration::from_millis(1_500));
    }
    let trial = run(&mix, scheduled(&mix, LatencyObjective::Stall), requests);
    let refused = trial
        .received
        .iter()
        .filter(|received| received.refusal.is_some());
    let unreachable = Some(RefusalReason::DeadlineUnreachable);
    let reasons: Vec<_> = refused.clone().map(|received| received.refusal).collect();
    assert!(reasons.contains(&unreachable));
    let late = refused.filter(|received| received.stall >= Duration::from_millis(1_500));
    assert_eq!(late.count(), 0);
}

// Many long prompts arrive in the same second. If they were prefilled at once, every stream would
// stall for as long as that takes.
#[test]
fn gap_first_paces_a_burst_of_prompts() {
    let mix = saryarka();
    let mut requests = mix.requests(1.0, SECONDS as f64, 10);
    let mut long = requests
        .iter()
        .find(|request| is_long(request))
        .unwrap()
        .clone();
    long.arrival = Time::from_millis(100_000);
    long.prompt = 1_000;
    requests.extend(vec![long; 30]);
    let burst = Time::from_millis(100_000);
    let longest_stall = |objective| {
        let trial = run(&mix, scheduled(&mix, objective), requests.clone());
        let pairs = trial.requests.iter().zip(&trial.received);
        let ran = pairs.filter(|(r, got)| r.arrival < burst && got.ended > Some(burst));
        let not_preempted = ran.filter(|(_, got)| got.preemptions == 0);
        not_preempted.map(|(_, got)| got.stall).max().unwrap()
    };
    let (stall, gap) = (
        longest_stall(LatencyObjective::Stall),
        longest_stall(LatencyObjective::Gap),
    );
    assert!(gap * 3 < stall, "{gap:?} {stall:?}");
}
