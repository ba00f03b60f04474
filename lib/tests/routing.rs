//! Tests server selection: membership, subsets, keyed calls, links and prefixes.

use std::time::Duration;

use cicada_lib::backend::CacheEvent;
use cicada_lib::ids::Name;
use cicada_lib::load::LoadSummary;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::RetryReason;
use cicada_lib::router::Router;
use cicada_lib::routing::AttemptEnd;
use cicada_lib::routing::AttemptResult;
use cicada_lib::routing::Eligibility;
use cicada_lib::routing::RouteRequest;
use cicada_lib::routing::RouterSettings;
use cicada_lib::routing::ServerKey;
use cicada_lib::routing::ServerState;
use cicada_lib::routing::ServerView;
use cicada_lib::time::Time;
use cicada_lib::zone_cost::CostSettings;
use quickcheck::QuickCheck;

struct Target {
    service: Name,
    model: Name,
    workspace: Name,
}

impl Target {
    fn new() -> Self {
        Target {
            service: Name::new("ceremony"),
            model: Name::new("hymns"),
            workspace: Name::new("alpha"),
        }
    }

    fn request<'a>(&'a self, tried: &'a [ServerKey]) -> RouteRequest<'a> {
        RouteRequest {
            service: &self.service,
            model: &self.model,
            workspace: &self.workspace,
            prefix: 0,
            expected_tokens: 200,
            affinity: None,
            tried,
        }
    }
}

fn view(region: &str, index: usize) -> ServerView {
    ServerView {
        name: Name::new(format!("{region}-{index}")),
        service: Name::new("ceremony"),
        region: Name::new(region),
        zone: Name::new(format!("{region}-a")),
        models: vec![Name::new("hymns")],
        state: ServerState::Ready,
    }
}

fn settings(region: &str) -> RouterSettings {
    RouterSettings::new(
        Name::new("entry-1"),
        Name::new(region),
        Name::new(format!("{region}-a")),
    )
}

/// Creates a router in `north` with `local` servers there and `remote` servers in `south`.
fn router(local: usize, remote: usize) -> Router {
    with_settings(settings("north"), local, remote)
}

fn with_settings(settings: RouterSettings, local: usize, remote: usize) -> Router {
    let mut router = Router::new(settings);
    let mut views: Vec<ServerView> = (0..local).map(|i| view("north", i)).collect();
    views.extend((0..remote).map(|i| view("south", i)));
    router.set_servers(Time::ZERO, &views);
    router
}

fn load(wait_ms: u64, running: u32) -> LoadSummary {
    LoadSummary {
        expected_wait: wait_ms * 1_000,
        token_gap: 40_000,
        running,
        queued: 0,
        free_tokens: 100_000,
        capacity_tokens: 200_000,
        preemptions: 0,
        draining: false,
        reachable: true,
    }
}

fn chosen(router: &mut Router, now: Time, target: &Target, seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let key = router.choose(now, &target.request(&[]), &mut rng).unwrap();
    router.name(key).unwrap().to_string()
}

#[test]
fn unknown_service_and_unplaced_model_are_refused_with_different_reasons() {
    let mut router = router(2, 0);
    let mut target = Target::new();
    target.model = Name::new("other");
    let mut rng = fastrand::Rng::with_seed(1);
    let refused = router.choose(Time::ZERO, &target.request(&[]), &mut rng);
    assert_eq!(refused.unwrap_err().reason(), RefusalReason::NotPlaced);
    target.service = Name::new("other");
    let refused = router.choose(Time::ZERO, &target.request(&[]), &mut rng);
    assert_eq!(refused.unwrap_err().reason(), RefusalReason::ServiceUnknown);
}

#[test]
fn a_tried_server_is_not_chosen_again() {
    let mut router = router(3, 0);
    let target = Target::new();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let key = router.choose(Time::ZERO, &target.request(&tried), &mut rng);
        tried.push(key.unwrap());
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3);
    let refused = router.choose(Time::ZERO, &target.request(&tried), &mut rng);
    let refused = refused.unwrap_err();
    assert_eq!(refused.reason(), RefusalReason::NoBackend);
    assert!(refused.retry_after().is_some());
}

#[test]
fn refusal_reason_is_draining_when_all_servers_drain() {
    let mut router = router(2, 0);
    let target = Target::new();
    for i in 0..2 {
        let name = Name::new(format!("north-{i}"));
        router.set_state(Time::ZERO, &name, ServerState::Draining);
    }
    let mut rng = fastrand::Rng::with_seed(1);
    let refused = router.choose(Time::ZERO, &target.request(&[]), &mut rng);
    assert_eq!(refused.unwrap_err().reason(), RefusalReason::Draining);
}

#[test]
fn a_server_that_reports_draining_gets_no_new_request() {
    // The server list lags: it shows a server as ready for seconds after its agent has begun to
    // drain. The load report on a reply arrives earlier and must suffice.
    let mut router = router(2, 0);
    let target = Target::new();
    let drained = router.key(&Name::new("north-0")).unwrap();
    let report = LoadSummary {
        draining: true,
        ..load(0, 0)
    };
    router.report(Time::ZERO, drained, report);
    for seed in 0..100 {
        assert_eq!(chosen(&mut router, Time::ZERO, &target, seed), "north-1");
    }
}

#[test]
fn only_a_large_difference_in_wait_crosses_regions() {
    let target = Target::new();
    for (wait, crosses) in [(100, false), (2_000, true)] {
        let mut router = router(2, 2);
        for i in 0..2 {
            let near = router.key(&Name::new(format!("north-{i}"))).unwrap();
            router.report(Time::ZERO, near, load(wait, 4));
            let far = router.key(&Name::new(format!("south-{i}"))).unwrap();
            router.report(Time::ZERO, far, load(0, 4));
        }
        let name = chosen(&mut router, Time::ZERO, &target, 3);
        assert_eq!(name.starts_with("south"), crosses, "{name} at {wait} ms");
    }
}

#[test]
fn a_link_over_budget_is_used_only_if_no_other_server_is_left() {
    let target = Target::new();
    let cost = CostSettings::new().with_link_bytes_per_second(10);
    let mut router = with_settings(settings("north").with_cost(cost), 1, 1);
    let near = router.key(&Name::new("north-0")).unwrap();
    let far = router.key(&Name::new("south-0")).unwrap();
    router.report(Time::ZERO, near, load(5_000, 4));
    router.report(Time::ZERO, far, load(0, 4));
    assert_eq!(chosen(&mut router, Time::ZERO, &target, 1), "south-0");
    router.started(Time::ZERO, far, &target.request(&[]));
    assert_eq!(chosen(&mut router, Time::ZERO, &target, 1), "north-0");
    let candidates = router.explain(Time::ZERO, &target.request(&[]));
    assert_eq!(candidates[1].eligibility, Eligibility::OverBudget);
    router.set_state(Time::ZERO, &Name::new("north-0"), ServerState::Gone);
    assert_eq!(chosen(&mut router, Time::ZERO, &target, 1), "south-0");
}

#[test]
fn keyed_calls_use_one_server_from_every_entry_and_move_only_while_it_drains() {
    let target = Target::new();
    let mut routers = [router(3, 3), with_settings(settings("south"), 3, 3)];
    let mut rng = fastrand::Rng::with_seed(1);
    for affinity in 0..200 {
        let request = RouteRequest {
            affinity: Some(affinity),
            ..target.request(&[])
        };
        let mut names = Vec::new();
        for router in &mut routers {
            let key = router.choose(Time::ZERO, &request, &mut rng).unwrap();
            names.push(router.name(key).unwrap().clone());
        }
        assert_eq!(names[0], names[1]);
    }
    let request = RouteRequest {
        affinity: Some(7),
        ..target.request(&[])
    };
    let first = routers[0].choose(Time::ZERO, &request, &mut rng).unwrap();
    let name = routers[0].name(first).unwrap().clone();
    routers[0].set_state(Time::ZERO, &name, ServerState::Draining);
    let second = routers[0].choose(Time::ZERO, &request, &mut rng).unwrap();
    assert_ne!(first, second);
    routers[0].set_state(Time::ZERO, &name, ServerState::Ready);
    let back = routers[0].choose(Time::ZERO, &request, &mut rng).unwrap();
    assert_eq!(first, back);
}

#[test]
fn a_cached_prefix_is_preferred_until_the_wait_exceeds_the_saving() {
    let target = Target::new();
    let mut router = router(8, 0);
    let holder = router.key(&Name::new("north-5")).unwrap();
    let event = CacheEvent {
        sequence: 1,
        prefix: 99,
        stored: true,
    };
    router.cache_event(Time::ZERO, holder, &event);
    let request = RouteRequest {
        prefix: 99,
        ..target.request(&[])
    };
    for i in 0..8 {
        let key = router.key(&Name::new(format!("north-{i}"))).unwrap();
        router.report(Time::ZERO, key, load(0, 1));
    }
    let mut rng = fastrand::Rng::with_seed(4);
    assert_eq!(router.choose(Time::ZERO, &request, &mut rng), Ok(holder));
    router.report(Time::ZERO, holder, load(500, 1));
    assert_ne!(router.choose(Time::ZERO, &request, &mut rng), Ok(holder));
}

#[test]
fn an_unreachable_region_costs_a_few_attempts_and_one_probe_per_second() {
    // All hosts of the local region are unreachable, but the server list still shows them as ready,
    // so a request could use up its attempts on them one after the other. After three lost servers
    // the region must be avoided, except for one request per second that probes whether it is back.
    let target = Target::new();
    let mut router = router(12, 6);
    let mut rng = fastrand::Rng::with_seed(2);
    let mut lost = 0;
    for i in 0..2_000u64 {
        let now = Time::from_millis(i * 5);
        let request = target.request(&[]);
        let key = router.choose(now, &request, &mut rng).unwrap();
        router.started(now, key, &request);
        let result = if router.name(key).unwrap().as_str().starts_with("north") {
            lost += 1;
            AttemptResult::Lost
        } else {
            AttemptResult::Ok
        };
        let end = AttemptEnd::new(result, Duration::from_millis(4));
        router.finished(now + Duration::from_millis(4), key, &end);
    }
    assert!(lost >= 3, "the region is not probed: {lost}");
    assert!(
        lost <= 3 + 10 + 1,
        "{lost} of 2,000 requests in 10 s were lost"
    );
}

#[test]
fn a_server_keeps_its_key_while_it_is_listed() {
    let mut router = router(3, 0);
    let name = Name::new("north-1");
    let key = router.key(&name);
    let views: Vec<ServerView> = (1..5).map(|i| view("north", i)).collect();
    router.set_servers(Time::from_millis(1), &views);
    assert_eq!(router.key(&name), key);
    assert_eq!(router.key(&Name::new("north-0")), None);
}

#[test]
fn a_removed_server_is_forgotten_after_its_last_request_ends() {
    let target = Target::new();
    let mut router = router(1, 0);
    let key = router.key(&Name::new("north-0")).unwrap();
    router.started(Time::ZERO, key, &target.request(&[]));
    router.set_servers(Time::ZERO, &[]);
    assert!(router.name(key).is_some());
    let end = AttemptEnd::new(AttemptResult::Ok, Duration::from_millis(4));
    router.finished(Time::ZERO, key, &end);
    assert!(router.name(key).is_none());
}

#[test]
fn draining_ejected_and_gone_servers_are_never_selected() {
    fn never_selected(steps: Vec<(u8, u8)>) -> bool {
        let target = Target::new();
        let mut router = router(6, 3);
        let mut rng = fastrand::Rng::with_seed(steps.len() as u64);
        let mut now = Time::ZERO;
        let mut states = [ServerState::Ready; 6];
        for (action, pick) in steps {
            now = now + Duration::from_millis(u64::from(pick) * 10);
            let index = usize::from(pick) % 6;
            let name = Name::new(format!("north-{index}"));
            let state = match action % 4 {
                0 => ServerState::Ready,
                1 => ServerState::Draining,
                2 => ServerState::Gone,
                _ => states[index],
            };
            states[index] = state;
            router.set_state(now, &name, state);
            let request = RouteRequest {
                affinity: (action > 128).then_some(u64::from(pick)),
                ..target.request(&[])
            };
            let key = router.choose(now, &request, &mut rng).unwrap();
            let chosen = router.name(key).unwrap();
            let indexed = states.iter().enumerate();
            for (i, state) in indexed {
                if *state != ServerState::Ready && chosen.as_str() == format!("north-{i}") {
                    return false;
                }
            }
            router.started(now, key, &request);
            let end = AttemptEnd::new(AttemptResult::Failed, Duration::from_millis(5));
            if action > 64 {
                router.finished(now, key, &end);
            }
        }
        true
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(never_selected as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn retries_of_a_service_never_exceed_its_budget() {
    fn within_budget(steps: Vec<(bool, u8)>) -> bool {
        let target = Target::new();
        let mut router = router(3, 0);
        let mut rng = fastrand::Rng::with_seed(1);
        let mut now = Time::ZERO;
        let mut first = 0.0;
        let mut retries = 0.0;
        for (fresh, pause) in steps {
            now = now + Duration::from_millis(u64::from(pause));
            if fresh {
                let key = router.choose(now, &target.request(&[]), &mut rng).unwrap();
                router.started(now, key, &target.request(&[]));
                first += 1.0;
            }
            let reason = RetryReason::AgentRefused;
            if router.may_retry(now, &target.service, reason).is_some() {
                retries += 1.0;
            }
            if retries > 32.0 + 0.1 * (first + now.seconds()) + 1e-6 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(within_budget as fn(Vec<(bool, u8)>) -> bool);
}

/// Guards against an entry that ends at a load out of any proportion, or takes it for the server's.
#[test]
fn a_load_out_of_bounds_leaves_the_last_good_one_in_force() {
    let mut router = router(2, 0);
    let target = Target::new();
    let keys = ["north-0", "north-1"].map(|name| router.key(&Name::new(name)).unwrap());
    router.report(Time::ZERO, keys[0], load(0, 1));
    router.report(Time::ZERO, keys[1], load(500, 40));
    let odd = LoadSummary {
        queued: u32::MAX,
        ..load(0, u32::MAX)
    };
    router.report(Time::ZERO, keys[0], odd);
    let endless = LoadSummary {
        expected_wait: u64::MAX,
        token_gap: u64::MAX,
        ..load(0, 1)
    };
    router.report(Time::ZERO, keys[0], endless);
    for seed in 0..20 {
        assert_eq!(chosen(&mut router, Time::ZERO, &target, seed), "north-0");
    }
    let stuck = LoadSummary {
        expected_wait: 1 << 53,
        token_gap: 1 << 53,
        ..load(0, 1)
    };
    router.report(Time::ZERO, keys[1], stuck);
    for seed in 0..20 {
        assert_eq!(chosen(&mut router, Time::ZERO, &target, seed), "north-0");
    }
}
