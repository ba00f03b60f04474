//! Load patterns and faults before a fleet of fake servers, judged by what callers receive.

use std::time::Duration;

use testutils::fake_fleet::Fault;
use testutils::fake_fleet::Outcome;
use testutils::fake_fleet::Plan;
use testutils::fake_fleet::Trouble;
use testutils::fake_fleet::run;
use testutils::pickers::Picker;
use testutils::pickers::PlainPicker;
use testutils::pickers::RouterPicker;
use testutils::pickers::Way;

const TWO_SECONDS: Duration = Duration::from_secs(2);

/// Requests a second that a server carries at most, with this part of long requests.
fn capacity(long: f64) -> f64 {
    let tokens = long * 1_000.0 + (1.0 - long) * 35.0;
    16.0 / (0.2 + tokens * 0.040)
}

/// Three regions of four servers and two entries, as one deployment of today has.
fn small(load: f64, faults: Vec<Fault>) -> Plan {
    Plan {
        regions: 3,
        entries: 2,
        servers: 4,
        slots: 16,
        rate: capacity(0.3) * 12.0 * load,
        long: 0.3,
        skew: None,
        prefixes: 0,
        length: Duration::from_secs(90),
        lag: Duration::from_millis(500),
        heartbeat: Duration::from_secs(2),
        faults,
        seed: 11,
    }
}

fn fault(seconds: u64, what: Trouble) -> Fault {
    Fault {
        at: Duration::from_secs(seconds),
        what,
    }
}

fn routed(plan: &Plan) -> Outcome {
    run(plan, |entry, region| -> Box<dyn Picker> {
        Box::new(RouterPicker::new(entry, region, |s| s))
    })
}

fn plain(plan: &Plan, way: Way) -> Outcome {
    run(plan, |entry, region| -> Box<dyn Picker> {
        Box::new(PlainPicker::new(way, entry, region))
    })
}

#[test]
fn many_entries_with_the_same_late_reports_do_not_herd() {
    // Ninety entries see the same half-second-old reports of twenty servers, and requests end within
    // seconds. Whoever sends to the least loaded by report meets all others there: callers wait for
    // seconds at one server while the next stands idle.
    let plan = Plan {
        regions: 1,
        entries: 90,
        servers: 20,
        rate: capacity(0.0) * 20.0 * 0.8,
        long: 0.0,
        length: Duration::from_secs(30),
        ..small(0.8, Vec::new())
    };
    let ours = routed(&plan);
    let least = plain(&plan, Way::LeastReported);
    let two = plain(&plan, Way::RandomTwo);
    assert!(
        least.wait(0.95) > 4.0 * ours.wait(0.95),
        "the pattern no longer herds"
    );
    assert!(ours.wait(0.95) < two.wait(0.95), "{}", ours.wait(0.95));
    assert!(ours.spread < two.spread, "{} {}", ours.spread, two.spread);
}

#[test]
fn a_frozen_report_draws_no_more_than_its_server_can_do() {
    // A server's report says "idle" for ever. Callers whose entries believe it queue there until it
    // refuses. The waits seen at that server tell otherwise, and count more than its word.
    let plan = small(0.8, vec![fault(0, Trouble::Frozen(1))]);
    let ours = routed(&plan);
    let least = plain(&plan, Way::LeastReported);
    assert!(
        least.within(TWO_SECONDS) < 0.95,
        "the pattern no longer harms"
    );
    assert!(
        ours.within(TWO_SECONDS) > 0.99,
        "{}",
        ours.within(TWO_SECONDS)
    );
    assert!(ours.wait(0.95) < 500.0, "{}", ours.wait(0.95));
}

#[test]
fn a_slow_server_is_left_out_and_callers_hardly_notice() {
    // One of four servers of a region runs at an eighth of its speed from second 20 on, with no error
    // and a report as late as ever. A caller that is sent there waits long for every token.
    let plan = Plan {
        length: Duration::from_secs(180),
        ..small(0.6, vec![fault(20, Trouble::Slow(1, 8.0))])
    };
    let ours = routed(&plan);
    let from = Duration::from_secs(90);
    let slow = ours.given(1, from);
    let peers = [0, 2, 3].map(|s| ours.given(s, from));
    let mean = peers.iter().sum::<usize>() / peers.len();
    assert!(slow * 5 < mean, "{slow} of {mean}");
    assert!(ours.wait(0.95) < 400.0, "{}", ours.wait(0.95));
}

#[test]
fn when_all_are_slow_callers_are_still_spread_over_all() {
    // The whole service slows down, by load or by a release. A judge of single servers that compares
    // with the past would take one after the other out, and crowd the last.
    let plan = small(0.3, vec![fault(20, Trouble::AllSlow(3.0))]);
    let ours = routed(&plan);
    let from = Duration::from_secs(40);
    let given: Vec<usize> = (0..12).map(|s| ours.given(s, from)).collect();
    let mean = given.iter().sum::<usize>() / given.len();
    assert!(given.iter().all(|g| *g * 3 > mean), "{given:?}");
    assert!(
        ours.within(TWO_SECONDS) > 0.99,
        "{}",
        ours.within(TWO_SECONDS)
    );
}

#[test]
fn a_lost_region_s_callers_are_served_elsewhere_within_seconds() {
    // A region's servers become unreachable at second 30. The list shows them as ready until 38. Their
    // callers' first tries end in timeouts; each must still be served within its tries, and two
    // seconds after the loss a caller must not notice more than a longer way.
    let faults = vec![
        fault(30, Trouble::RegionLost(0)),
        fault(38, Trouble::RegionGone(0)),
        fault(70, Trouble::RegionBack(0)),
    ];
    let ours = routed(&small(0.4, faults));
    let from = Duration::from_secs(30);
    let worst = ours.wait_between(1.0, from, from + Duration::from_secs(8));
    assert!(worst.is_finite(), "a caller was not served");
    let after = from + TWO_SECONDS;
    let later = ours.wait_between(0.9, after, Duration::from_secs(70));
    assert!(later < 400.0, "{later}");
    let back = Duration::from_secs(78);
    assert!(
        ours.given(0, back) > 0,
        "the region gets nothing after its return"
    );
}

#[test]
fn an_overload_is_not_multiplied_by_retries() {
    // Callers send three times what the servers can do for a minute. Each refusal asks for another
    // try; without a budget there are two more for nearly every request, and each try costs a server
    // and an entry as much as a refusal does.
    let plan = Plan {
        length: Duration::from_secs(60),
        ..small(3.0, Vec::new())
    };
    let ours = routed(&plan);
    let two = plain(&plan, Way::RandomTwo);
    let entries = 6.0;
    let requests = ours.fates.len() as f64;
    let bound = 0.1 + entries * (32.0 + 0.1 * 60.0) / requests;
    assert!(two.retries() > 1.0, "the pattern no longer storms");
    assert!(ours.retries() < bound, "{} of {bound}", ours.retries());
    assert!(ours.within(Duration::from_secs(8)) > 0.9 * two.within(Duration::from_secs(8)));
}

#[test]
fn a_full_region_lends_from_the_others_and_an_even_load_does_not_cross() {
    // Half of all callers are in one of three regions. Kept there, a quarter of them waits for many
    // seconds while the other regions have room. With an even load, crossings would only cost.
    let hot = Plan {
        skew: Some(0.5),
        ..small(0.75, Vec::new())
    };
    let ours = routed(&hot);
    let two = plain(&hot, Way::RandomTwo);
    assert!(two.within(TWO_SECONDS) < 0.9, "the pattern no longer harms");
    assert!(
        ours.within(TWO_SECONDS) > 0.98,
        "{}",
        ours.within(TWO_SECONDS)
    );
    assert!(ours.crossed() < 0.35, "{}", ours.crossed());
    let even = routed(&small(0.6, Vec::new()));
    assert!(even.crossed() < 0.005, "{}", even.crossed());
}

#[test]
fn a_burst_is_spread_before_any_report_tells_of_it() {
    // All callers of a region come within a tenth of a second, while every report says "idle". Own work
    // in flight must count at once, or each entry fills one server.
    let plan = Plan {
        regions: 1,
        rate: 400.0,
        length: Duration::from_millis(100),
        long: 0.0,
        ..small(0.5, Vec::new())
    };
    let ours = routed(&plan);
    let given: Vec<usize> = (0..4).map(|s| ours.given(s, Duration::ZERO)).collect();
    let most = given.iter().max().copied().unwrap_or(0);
    assert!(most <= 14, "{given:?}");
    assert!(ours.wait(1.0) < 400.0, "{}", ours.wait(1.0));
}

#[test]
fn shared_heads_of_prompts_are_read_once_and_hot_ones_do_not_crowd() {
    let plan = Plan {
        prefixes: 100,
        ..small(0.7, Vec::new())
    };
    let ours = routed(&plan);
    let two = plain(&plan, Way::RandomTwo);
    assert!(
        ours.wait(0.5) < 0.5 * two.wait(0.5),
        "{} {}",
        ours.wait(0.5),
        two.wait(0.5)
    );
    assert!(
        ours.wait(0.99) < 1.1 * two.wait(0.99),
        "{} {}",
        ours.wait(0.99),
        two.wait(0.99)
    );
}
