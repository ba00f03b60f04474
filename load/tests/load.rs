//! The load tool before a small server with faults: it must see each broken promise, and no other.

mod fake;

use std::time::Duration;

use cicada_load::arrivals::Arrivals;
use cicada_load::compare::compare;
use cicada_load::effects::read_counter;
use cicada_load::plan::Action;
use cicada_load::plan::Plan;
use cicada_load::plan::Tenant;
use cicada_load::report::Report;
use cicada_load::run::run;
use fake::Fake;
use fake::Fault;

fn tenant(name: &str, weight: f64) -> Tenant {
    Tenant {
        name: name.to_string(),
        key: "secret".to_string(),
        weight,
    }
}

/// Forty requests of one action within a fifth of a second.
fn plan(action: Action) -> Plan {
    let mut plan = Plan::hanshan();
    plan.kinds.retain(|kind| kind.action == action);
    for kind in &mut plan.kinds {
        kind.tokens.least = 6;
        kind.tokens.most = 12;
    }
    plan.tenants = vec![tenant("alpha", 3.0), tenant("beta", 1.0)];
    plan.rate = 200.0;
    plan.length = Duration::from_millis(200);
    plan.timeout = Duration::from_secs(8);
    plan
}

async fn report(fault: Fault, mut plan: Plan) -> Report {
    let fakes = [Fake::start(fault).await];
    plan.entries = fakes.iter().map(|f| f.addr).collect();
    plan.records = plan.entries.clone();
    run(plan, "test".to_string(), |_| {}).await
}

fn promises(report: &Report, part: &str) {
    assert!(report.broken > 0, "nothing was found");
    for promise in &report.promises {
        assert!(promise.contains(part), "{promise}");
    }
}

#[tokio::test]
async fn whole_answers_are_counted_and_nothing_is_broken() {
    let report = report(Fault::None, plan(Action::Generate)).await;
    let total = &report.total;
    assert!(total.sent > 20);
    assert_eq!(total.completed, total.sent);
    assert_eq!(total.in_time, total.sent);
    assert_eq!(report.broken, 0, "{:?}", report.promises);
    assert_eq!(total.preemptions, total.sent);
    assert!(total.tokens >= 6 * total.sent);
    assert_eq!(total.stall.count, total.sent);
    let sums: u64 = report.workspaces.values().map(|s| s.sent).sum();
    assert_eq!(sums, total.sent);
    assert!(report.workspaces["alpha"].sent > report.workspaces["beta"].sent);
}

#[tokio::test]
async fn a_dropped_stream_is_resumed_after_its_last_event() {
    let report = report(Fault::Drop, plan(Action::Generate)).await;
    assert_eq!(report.total.completed, report.total.sent);
    assert_eq!(report.total.again, report.total.sent);
    assert_eq!(report.broken, 0, "{:?}", report.promises);
}

#[tokio::test]
async fn each_broken_promise_of_a_stream_is_seen() {
    let faults = [
        (Fault::Splice, "another generation"),
        (Fault::Double, "came again"),
        (Fault::Lose, "token 3 came at place 2"),
        (Fault::Cross, "another prompt"),
        (Fault::Short, "ended with 3 tokens"),
    ];
    for (fault, part) in faults {
        let report = report(fault, plan(Action::Generate)).await;
        promises(&report, part);
        assert_eq!(report.broken, report.total.sent, "{fault:?}");
    }
}

#[tokio::test]
async fn a_time_told_is_honest_if_the_caller_is_then_served() {
    for (fault, honest) in [(Fault::RefuseOnce, true), (Fault::RefuseAlways, false)] {
        let mut plan = plan(Action::Generate);
        plan.obey = 1.0;
        let report = report(fault, plan).await;
        let total = &report.total;
        assert_eq!(total.obeyed, total.sent);
        assert_eq!(total.honest, if honest { total.sent } else { 0 });
        let refused = total.refused.get("queue_full").copied().unwrap_or(0);
        assert_eq!(refused, if honest { 0 } else { total.sent });
    }
}

#[tokio::test]
async fn a_booking_that_takes_effect_twice_or_against_the_answer_is_seen() {
    let good = report(Fault::None, plan(Action::Effect)).await;
    assert_eq!(good.broken, 0, "{:?}", good.promises);
    assert_eq!(good.effects, Some(good.total.sent));
    let doubled = report(Fault::BookTwice, plan(Action::Effect)).await;
    promises(&doubled, "more than once");
    assert_eq!(doubled.broken, doubled.total.sent);
    let denied = report(Fault::BookAndDeny, plan(Action::Effect)).await;
    promises(&denied, "answered as not run, and took effect");
}

#[tokio::test]
async fn open_requests_are_bounded_and_the_rest_is_counted() {
    let mut plan = plan(Action::Read);
    plan.max_open = 0;
    let report = report(Fault::None, plan).await;
    assert_eq!(report.total.sent, 0);
    assert!(report.not_sent > 20);
}

#[test]
fn a_seed_gives_the_same_arrivals_and_another_seed_others() {
    let mut first = plan(Action::Generate);
    first.entries = vec!["127.0.0.1:1".parse().unwrap()];
    let mut second = first.clone();
    assert!(Arrivals::new(&first).eq(Arrivals::new(&second)));
    second.seed = 2;
    assert!(!Arrivals::new(&first).eq(Arrivals::new(&second)));
}

#[test]
fn a_file_of_settings_is_read_and_each_mistake_names_its_place() {
    let path = std::env::temp_dir().join(format!("cicada-load-{}.ini", std::process::id()));
    let good = "[run]\nmix = saryarka\nentries = 127.0.0.1:1, 127.0.0.1:2\nrate = 7.5\n\
                [workspace.alpha]\nkey = secret\nweight = 2\n\
                [kind.query]\naction = generate\ntokens = 5..50\ndeadline = 3\n";
    std::fs::write(&path, good).unwrap();
    let plan = Plan::read(&path, None).unwrap();
    plan.check().unwrap();
    assert_eq!(plan.entries.len(), 2);
    assert_eq!(plan.rate, 7.5);
    assert_eq!(plan.kinds.len(), 1);
    for (bad, part) in [
        ("[run]\nrate = fast\n", "[run] rate"),
        ("[run]\nspeed = 1\n", "[run] speed"),
        ("[kind.x]\ntokens = 9..3\n", "[kind.x] tokens"),
        ("[kind.x]\naction = read\n", "needs a path"),
    ] {
        std::fs::write(&path, bad).unwrap();
        let error = Plan::read(&path, None).unwrap_err().to_string();
        assert!(error.contains(part), "{error}");
    }
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn a_comparison_gives_ratios() {
    let mut first = Report::default();
    first.total.stall.p99 = 200.0;
    let mut second = Report::default();
    second.total.stall.p99 = 50.0;
    let text = compare(&first, &second);
    let line = text.lines().find(|l| l.contains("stall p99")).unwrap();
    assert!(line.ends_with("x0.25"), "{line}");
}

#[test]
fn counters_are_summed_over_labels() {
    let page =
        "# HELP x\ncicada_preemptions_total{a=\"b\"} 3\ncicada_preemptions_total 4\nother 9\n";
    assert_eq!(read_counter(page), 7);
}
