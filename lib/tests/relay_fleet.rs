//! What relays cost as their number grows: calls to the directory, bytes and time, at one size and at twice that.

use std::time::Duration;

use relay_sim::Counts;
use relay_sim::Deployment;
use relay_sim::REGIONS;

mod relay_sim;

const SECOND: Duration = Duration::from_secs(1);

/// Sizes of a deployment, the second twice the first.
const SIZES: [usize; 2] = [150, 300];

/// Calls of one watcher in a second, and those of a start or a takeover in each region.
const CALLS_PER_SECOND: u64 = 4;
const CALLS_PER_START: u64 = 15;

/// Bytes a second that a relay may send to others, without headers.
const MAX_BYTES: u64 = 4_000;

/// A deployment that has been running for a while.
fn running(relays: usize, seed: u64) -> Deployment {
    let mut deployment = Deployment::start(relays, seed);
    deployment.run(15 * SECOND);
    deployment
}

/// Guards against relays that all ask the directory when they start together.
#[test]
fn a_first_start_takes_few_calls_and_little_time_at_any_size() {
    for relays in SIZES {
        let mut deployment = Deployment::start(relays, 1);
        let took = deployment.run_until_all_know(20 * SECOND);
        let calls = deployment.counts.calls;
        assert!(took < 3 * SECOND, "{relays} relays took {took:?}");
        println!("{relays} relays: {took:?}, {calls} calls");
        let most = REGIONS as u64 * (CALLS_PER_START + CALLS_PER_SECOND * 3);
        assert!(calls <= most, "{relays} relays made {calls} calls");
    }
}

/// Guards against calls and bytes of the steady state that grow with the number of relays, and against watchers that
/// take turns because some relays hear them too seldom.
#[test]
fn the_steady_state_costs_the_same_at_any_size() {
    for relays in SIZES {
        let Counts {
            calls,
            takeovers,
            bytes,
            ..
        } = running(relays, 2).run(10 * SECOND);
        println!("{relays} relays: {calls} calls, {takeovers} takeovers, {bytes} bytes in all");
        assert_eq!(takeovers, 0, "of {relays} relays");
        let most = REGIONS as u64 * CALLS_PER_SECOND * 10;
        assert!(calls <= most, "{relays} relays made {calls} calls");
        let each = bytes / relays as u64 / 10;
        assert!(each < MAX_BYTES, "{each} bytes a second of {relays} relays");
    }
}

/// Guards against relays that use up the directory's rate limit while it is away, and against a slow return.
#[test]
fn a_restart_of_all_during_an_outage_takes_few_calls_and_ends_soon_after_it() {
    for relays in SIZES {
        let mut deployment = running(relays, 3);
        deployment.served = false;
        deployment.kill_all();
        let outage = 6 * SECOND;
        let calls = deployment.run(outage).calls;
        let most = REGIONS as u64 * (CALLS_PER_START + 10 * outage.as_secs());
        assert!(calls <= most, "{relays} relays made {calls} calls");
        deployment.served = true;
        let took = deployment.run_until_all_know(20 * SECOND);
        println!("{relays} relays: {calls} calls while away, {took:?} until all know");
        assert!(took < 3 * SECOND, "{relays} relays took {took:?}");
    }
}

/// Guards against callers that nobody serves until the directory is back, although scouts hold the state.
#[test]
fn relays_that_were_all_killed_start_from_the_state_that_scouts_hold() {
    for relays in SIZES {
        let mut deployment = running(relays, 4);
        deployment.served = false;
        deployment.kill_all();
        deployment.run(SECOND);
        deployment.offer_state();
        let took = deployment.run_until_all_know(20 * SECOND);
        println!("{relays} relays: {took:?} from the scouts' offer");
        assert!(took < 3 * SECOND, "{relays} relays took {took:?}");
    }
}

/// Guards against limits that are divided among too few relays, because some are not known.
#[test]
fn all_relays_are_known_to_all_soon_after_a_start() {
    for relays in SIZES {
        let mut deployment = Deployment::start(relays, 5);
        deployment.run(6 * SECOND);
        assert_eq!(deployment.least_known(), relays);
    }
}

/// Guards against a change that reaches some relays late because the number of relays has grown.
#[test]
fn a_change_is_known_everywhere_within_seconds_at_two_thousand_relays() {
    let mut deployment = Deployment::start(2_000, 6);
    deployment.run(6 * SECOND);
    deployment.latest += 1;
    let took = deployment.run_until_all_know(20 * SECOND);
    println!("2000 relays: {took:?}");
    assert!(took < 3 * SECOND, "{took:?}");
}
