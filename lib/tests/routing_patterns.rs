//! Tests the router against simulated load patterns and faults, by the waits that callers see.

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

/// Returns the capacity of one server in requests per second, for a fraction `long` of long
/// requests.
fn capacity(long: f64) -> f64 {
    let tokens = long * 1_000.0 + (1.0 - long) * 35.0;
    16.0 / (0.2 + tokens * 0.040)
}

/// A plan with three regions of four servers and two entries each, the size of an existing
/// deployment.
fn small_plan(load: f64, faults: Vec<Fault>) -> Plan {
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

fn baseline(plan: &Plan, way: Way) -> Outcome {
    run(plan, |entry, region| -> Box<dyn Picker> {
        Box::new(PlainPicker::new(way, entry, region))
    })
}

#[test]
fn many_entries_with_the_same_delayed_reports_do_not_herd() {
    // Ninety entries see the same reports of twenty servers, half a second old, and requests end
    // within seconds. If every entry sends to the server with the least reported load, callers wait
    // for seconds at one server while another is idle.
    let plan = Plan {
        regions: 1,
        entries: 90,
        servers: 20,
        rate: capacity(0.0) * 20.0 * 0.8,
        long: 0.0,
        length: Duration::from_secs(30),
        ..small_plan(0.8, Vec::new())
    };
    let router = routed(&plan);
    let least_reported = baseline(&plan, Way::LeastReported);
    let random_two = baseline(&plan, Way::RandomTwo);
    assert!(
        least_reported.wait(0.95) > 4.0 * router.wait(0.95),
        "the baseline no longer herds"
    );
    assert!(
        router.wait(0.95) < random_two.wait(0.95),
        "{}",
        router.wait(0.95)
    );
    assert!(
        router.spread < random_two.spread,
        "{} {}",
        router.spread,
        random_two.spread
    );
}

#[test]
fn a_frozen_report_does_not_overload_its_server() {
    // One server's report says "idle" for the whole run. Entries that trust it queue requests there
    // until the server refuses them. The observed waits must outweigh the report.
    let plan = small_plan(0.8, vec![fault(0, Trouble::Frozen(1))]);
    let router = routed(&plan);
    let least_reported = baseline(&plan, Way::LeastReported);
    assert!(
        least_reported.within(TWO_SECONDS) < 0.95,
        "the baseline no longer suffers"
    );
    assert!(
        router.within(TWO_SECONDS) > 0.99,
        "{}",
        router.within(TWO_SECONDS)
    );
    assert!(router.wait(0.95) < 500.0, "{}", router.wait(0.95));
}

#[test]
fn a_slow_server_is_avoided_and_waits_stay_short() {
    // From second 20, one of four servers of a region runs at an eighth of its speed, without
    // errors and with reports as delayed as before. Callers that are sent there wait long for every
    // token.
    let plan = Plan {
        length: Duration::from_secs(180),
        ..small_plan(0.6, vec![fault(20, Trouble::Slow(1, 8.0))])
    };
    let router = routed(&plan);
    let from = Duration::from_secs(90);
    let slow = router.given(1, from);
    let peers = [0, 2, 3].map(|s| router.given(s, from));
    let mean = peers.iter().sum::<usize>() / peers.len();
    assert!(slow * 5 < mean, "{slow} of {mean}");
    assert!(router.wait(0.95) < 400.0, "{}", router.wait(0.95));
}

#[test]
fn when_all_servers_are_slow_load_stays_spread_over_all() {
    // The whole service slows down, for example by load or a new release. Outlier detection that
    // compares a server with its own past would eject one server after the other and overload the
    // last ones.
    let plan = small_plan(0.3, vec![fault(20, Trouble::AllSlow(3.0))]);
    let router = routed(&plan);
    let from = Duration::from_secs(40);
    let given: Vec<usize> = (0..12).map(|s| router.given(s, from)).collect();
    let mean = given.iter().sum::<usize>() / given.len();
    assert!(given.iter().all(|g| *g * 3 > mean), "{given:?}");
    assert!(
        router.within(TWO_SECONDS) > 0.99,
        "{}",
        router.within(TWO_SECONDS)
    );
}

#[test]
fn callers_of_a_lost_region_are_served_elsewhere_within_seconds() {
    // A region's servers become unreachable at second 30, and the server list shows them as ready
    // until second 38. First attempts end in timeouts, but every caller must be served within its
    // attempts, and from two seconds after the loss callers may see only the longer network path.
    let faults = vec![
        fault(30, Trouble::RegionLost(0)),
        fault(38, Trouble::RegionGone(0)),
        fault(70, Trouble::RegionBack(0)),
    ];
    let router = routed(&small_plan(0.4, faults));
    let from = Duration::from_secs(30);
    let worst = router.wait_between(1.0, from, from + Duration::from_secs(8));
    assert!(worst.is_finite(), "a request was not served");
    let after = from + TWO_SECONDS;
    let later = router.wait_between(0.9, after, Duration::from_secs(70));
    assert!(later < 400.0, "{later}");
    let back = Duration::from_secs(78);
    assert!(
        router.given(0, back) > 0,
        "the region gets no requests after its return"
    );
}

#[test]
fn an_overload_is_not_multiplied_by_retries() {
    // Callers send three times the servers' capacity for a minute. Each refusal leads to another
    // attempt: without a retry budget there are two more for nearly every request, and each costs a
    // server and an entry as much as a refusal.
    let plan = Plan {
        length: Duration::from_secs(60),
        ..small_plan(3.0, Vec::new())
    };
    let router = routed(&plan);
    let random_two = baseline(&plan, Way::RandomTwo);
    let entries = 6.0;
    let requests = router.fates.len() as f64;
    let bound = 0.1 + entries * (32.0 + 0.1 * 60.0) / requests;
    assert!(
        random_two.retries() > 1.0,
        "the baseline no longer causes a retry storm"
    );
    assert!(router.retries() < bound, "{} of {bound}", router.retries());
    assert!(
        router.within(Duration::from_secs(8)) > 0.9 * random_two.within(Duration::from_secs(8))
    );
}

#[test]
fn a_full_region_uses_the_others_and_a_balanced_load_stays_local() {
    // Half of all callers are in one of three regions. If they stay there, a quarter of them waits
    // for many seconds while the other regions have capacity. With a balanced load, crossing
    // regions has only costs.
    let skewed = Plan {
        skew: Some(0.5),
        ..small_plan(0.75, Vec::new())
    };
    let router = routed(&skewed);
    let random_two = baseline(&skewed, Way::RandomTwo);
    assert!(
        random_two.within(TWO_SECONDS) < 0.9,
        "the baseline no longer suffers"
    );
    assert!(
        router.within(TWO_SECONDS) > 0.98,
        "{}",
        router.within(TWO_SECONDS)
    );
    assert!(router.crossed() < 0.35, "{}", router.crossed());
    let balanced = routed(&small_plan(0.6, Vec::new()));
    assert!(balanced.crossed() < 0.005, "{}", balanced.crossed());
}

#[test]
fn a_burst_is_spread_before_any_report_shows_it() {
    // All requests of a region arrive within a tenth of a second, while every report says "idle".
    // Local requests in flight must count at once, or each entry fills one server.
    let plan = Plan {
        regions: 1,
        rate: 400.0,
        length: Duration::from_millis(100),
        long: 0.0,
        ..small_plan(0.5, Vec::new())
    };
    let router = routed(&plan);
    let given: Vec<usize> = (0..4).map(|s| router.given(s, Duration::ZERO)).collect();
    let most = given.iter().max().copied().unwrap_or(0);
    assert!(most <= 14, "{given:?}");
    assert!(router.wait(1.0) < 400.0, "{}", router.wait(1.0));
}

#[test]
fn shared_prefixes_shorten_waits_and_hot_ones_do_not_overload_a_server() {
    let plan = Plan {
        prefixes: 100,
        ..small_plan(0.7, Vec::new())
    };
    let router = routed(&plan);
    let random_two = baseline(&plan, Way::RandomTwo);
    assert!(
        router.wait(0.5) < 0.5 * random_two.wait(0.5),
        "{} {}",
        router.wait(0.5),
        random_two.wait(0.5)
    );
    assert!(
        router.wait(0.99) < 1.1 * random_two.wait(0.99),
        "{} {}",
        router.wait(0.99),
        random_two.wait(0.99)
    );
}
