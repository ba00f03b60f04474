//! Load patterns on one engine, judged by what callers receive.

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

// Requests a second that the fake engines can serve to the end, from the trial's reference.
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

// Callers see long silences while one partner's batch job sends 300 drafts at once. The queue may
// take what is served within the bound; the rest must be told at once, and the others' short
// checks must go on as before.
#[test]
fn burst_is_refused_early_and_leaves_others_alone() {
    let mix = hanshan();
    let mut requests = mix.requests(0.5 * HANSHAN_RATE, SECONDS as f64, 1);
    let mut draft = requests
        .iter()
        .find(|request| is_long(request))
        .unwrap()
        .clone();
    draft.arrival = Time::from_millis(100_000);
    draft.workspace = Name::new("batch");
    draft.deadline = None;
    requests.extend(vec![draft; 300]);
    let trial = run(&mix, scheduled(&mix, LatencyObjective::Stall), requests);
    let burst = |request: &Request| &*request.workspace.to_string() == "batch";
    let pairs = || trial.requests.iter().zip(&trial.received);
    let refused = pairs().filter(|(r, got)| burst(r) && got.refusal.is_some());
    assert!(refused.clone().all(|(_, got)| got.stall.is_zero()));
    let refused = refused.count();
    assert!((100..300).contains(&refused), "{refused} refused");
    assert!(
        pairs()
            .filter(|(r, _)| burst(r))
            .all(|(_, got)| got.complete || got.refusal.is_some())
    );
    let stall = p99(&trial, |request| !burst(request) && !is_long(request));
    assert!(stall < 8.0, "{stall}");
}

// A partner's retry loop sends ten times its usual load. A well-behaved partner beside it must not
// wait behind it: a tenth of what it would wait first come, first served.
#[test]
fn hot_workspace_does_not_stall_a_quiet_one() {
    let mix = hanshan();
    let usual = mix.requests(0.6 * HANSHAN_RATE, SECONDS as f64, 2);
    let mut hot = usual.clone();
    let extra = mix.requests(10.0 * 0.6 * HANSHAN_RATE, SECONDS as f64, 3);
    hot.extend(
        extra
            .into_iter()
            .filter(|request| &*request.workspace.to_string() == "w1"),
    );
    let quiet = |request: &Request| &*request.workspace.to_string() != "w1";
    let without = p99(
        &run(&mix, scheduled(&mix, LatencyObjective::Stall), usual),
        quiet,
    );
    let with = p99(
        &run(&mix, scheduled(&mix, LatencyObjective::Stall), hot.clone()),
        quiet,
    );
    let fifo = p99(&run(&mix, Front::Direct, hot), quiet);
    assert!(with < fifo / 10.0, "{without} {with} {fifo}");
}

// A parent waits on the line for a check of a date while long drafts fill the engine. First come,
// first served puts each check behind the drafts; shortest first would never serve a draft.
#[test]
fn short_pass_long_and_long_are_not_starved() {
    let mix = hanshan();
    let requests = mix.requests(2.0 * HANSHAN_RATE, SECONDS as f64, 4);
    let trial = run(
        &mix,
        scheduled(&mix, LatencyObjective::Stall),
        requests.clone(),
    );
    let fifo = run(&mix, Front::Direct, requests);
    let done = |trial: &Trial, long: bool| {
        let pairs = trial.requests.iter().zip(&trial.received);
        let of = pairs.filter(|(request, _)| is_long(request) == long);
        let (done, all) = of.fold((0.0, 0.0), |(done, all), (_, got)| {
            (done + f64::from(u8::from(got.complete)), all + 1.0)
        });
        done / all
    };
    let (short, long) = (done(&trial, false), done(&trial, true));
    assert!(
        short > done(&fifo, false) + 0.2,
        "{short} {}",
        done(&fifo, false)
    );
    assert!(short > 0.6, "{short}");
    assert!(long > 0.3, "{long}");
    assert!(p99(&trial, is_long) < 30.0, "{}", p99(&trial, is_long));
}

// Everybody books for the same feast day, for as long as it takes. Without limits each answer comes
// after its caller has gone; with them the engine goes on to finish what it starts.
#[test]
fn goodput_holds_under_overload() {
    let mix = hanshan();
    let at = |load: f64, front: Front| {
        let requests = mix.requests(load * HANSHAN_RATE, SECONDS as f64 + 100.0, 5);
        let trial = run(&mix, front, requests);
        figures(&mix, &trial)
    };
    let usual = at(1.0, scheduled(&mix, LatencyObjective::Stall)).goodput;
    for load in [1.5, 3.0, 10.0] {
        let figures = at(load, scheduled(&mix, LatencyObjective::Stall));
        assert!(figures.goodput > 0.95 * usual, "{load}: {figures:?}");
        assert!(figures.preemptions < 100.0, "{load}: {figures:?}");
    }
    let fifo = at(10.0, Front::Direct).goodput;
    assert!(fifo < 0.5 * usual, "{fifo}");
}

// A new release of the model writes four times as much. What was learned is wrong from one moment
// to the next; the plan must follow within a few minutes, and not let the engine thrash.
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

// The memory fills up in the midst of decoding. The engine would displace its latest starts again
// and again; the scheduler displaces first, and nobody more than twice.
#[test]
fn nobody_is_displaced_more_often_than_stated() {
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

// A refused caller comes back when it was told to. If all were told the same moment, or a moment
// too early, most would be refused again and again.
#[test]
fn retry_after_is_true_most_of_the_time() {
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

// A caller's deadline cannot be met. It is told so at once and not at its deadline, so that it can
// still go elsewhere.
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

// Many summaries are asked for in the same second. Read in at once they hold up every stream for
// as long as it takes.
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
    let worst = |objective| {
        let trial = run(&mix, scheduled(&mix, objective), requests.clone());
        let pairs = trial.requests.iter().zip(&trial.received);
        let ran = pairs.filter(|(r, got)| r.arrival < burst && got.ended > Some(burst));
        let smooth = ran.filter(|(_, got)| got.preemptions == 0);
        smooth.map(|(_, got)| got.stall).max().unwrap()
    };
    let (stall, gap) = (worst(LatencyObjective::Stall), worst(LatencyObjective::Gap));
    assert!(gap * 3 < stall, "{gap:?} {stall:?}");
}
