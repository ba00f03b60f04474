//! Choosing a server: membership, subsets, keyed calls, links, prefixes.

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

struct Words {
    service: Name,
    model: Name,
    workspace: Name,
}

impl Words {
    fn new() -> Self {
        Words {
            service: Name::new("ceremony"),
            model: Name::new("hymns"),
            workspace: Name::new("alpha"),
        }
    }

    fn ask<'a>(&'a self, tried: &'a [ServerKey]) -> RouteRequest<'a> {
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

/// A router in `north` before `local` servers there and `remote` in `south`.
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

fn chosen(router: &mut Router, now: Time, words: &Words, seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let key = router.choose(now, &words.ask(&[]), &mut rng).unwrap();
    router.name(key).unwrap().to_string()
}

#[test]
fn unknown_service_and_unplaced_model_are_told_apart() {
    let mut router = router(2, 0);
    let mut words = Words::new();
    words.model = Name::new("other");
    let mut rng = fastrand::Rng::with_seed(1);
    let refused = router.choose(Time::ZERO, &words.ask(&[]), &mut rng);
    assert_eq!(refused.unwrap_err().reason(), RefusalReason::NotPlaced);
    words.service = Name::new("other");
    let refused = router.choose(Time::ZERO, &words.ask(&[]), &mut rng);
    assert_eq!(refused.unwrap_err().reason(), RefusalReason::ServiceUnknown);
}

#[test]
fn a_tried_server_is_not_chosen_again() {
    let mut router = router(3, 0);
    let words = Words::new();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let key = router.choose(Time::ZERO, &words.ask(&tried), &mut rng);
        tried.push(key.unwrap());
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3);
    let refused = router.choose(Time::ZERO, &words.ask(&tried), &mut rng);
    let refused = refused.unwrap_err();
    assert_eq!(refused.reason(), RefusalReason::NoBackend);
    assert!(refused.retry_after().is_some());
}

#[test]
fn when_all_leave_the_refusal_says_so() {
    let mut router = router(2, 0);
    let words = Words::new();
    for i in 0..2 {
        let name = Name::new(format!("north-{i}"));
        router.set_state(Time::ZERO, &name, ServerState::Draining);
    }
    let mut rng = fastrand::Rng::with_seed(1);
    let refused = router.choose(Time::ZERO, &words.ask(&[]), &mut rng);
    assert_eq!(refused.unwrap_err().reason(), RefusalReason::Draining);
}

#[test]
fn a_server_that_says_it_leaves_gets_nothing_new() {
    // The list lags: it shows the server as ready seconds after the agent has begun to leave. The
    // agent's own word on a reply comes first, and is enough.
    let mut router = router(2, 0);
    let words = Words::new();
    let leaving = router.key(&Name::new("north-0")).unwrap();
    let word = LoadSummary {
        draining: true,
        ..load(0, 0)
    };
    router.report(Time::ZERO, leaving, word);
    for seed in 0..100 {
        assert_eq!(chosen(&mut router, Time::ZERO, &words, seed), "north-1");
    }
}

#[test]
fn a_small_difference_does_not_cross_regions_and_a_large_one_does() {
    let words = Words::new();
    for (wait, crosses) in [(100, false), (2_000, true)] {
        let mut router = router(2, 2);
        for i in 0..2 {
            let near = router.key(&Name::new(format!("north-{i}"))).unwrap();
            router.report(Time::ZERO, near, load(wait, 4));
            let far = router.key(&Name::new(format!("south-{i}"))).unwrap();
            router.report(Time::ZERO, far, load(0, 4));
        }
        let name = chosen(&mut router, Time::ZERO, &words, 3);
        assert_eq!(name.starts_with("south"), crosses, "{name} at {wait} ms");
    }
}

#[test]
fn a_link_without_bytes_is_not_crossed_by_choice_but_when_nothing_else_is_left() {
    let words = Words::new();
    let cost = CostSettings::new().with_link_bytes(10);
    let mut router = with_settings(settings("north").with_cost(cost), 1, 1);
    let near = router.key(&Name::new("north-0")).unwrap();
    let far = router.key(&Name::new("south-0")).unwrap();
    router.report(Time::ZERO, near, load(5_000, 4));
    router.report(Time::ZERO, far, load(0, 4));
    assert_eq!(chosen(&mut router, Time::ZERO, &words, 1), "south-0");
    router.started(Time::ZERO, far, &words.ask(&[]));
    assert_eq!(chosen(&mut router, Time::ZERO, &words, 1), "north-0");
    let over = router.explain(Time::ZERO, &words.ask(&[]));
    assert_eq!(over[1].eligibility, Eligibility::OverBudget);
    router.set_state(Time::ZERO, &Name::new("north-0"), ServerState::Gone);
    assert_eq!(chosen(&mut router, Time::ZERO, &words, 1), "south-0");
}

#[test]
fn keyed_calls_keep_to_one_server_at_every_entry_and_move_only_when_it_leaves() {
    let words = Words::new();
    let mut routers = [router(3, 3), with_settings(settings("south"), 3, 3)];
    let mut rng = fastrand::Rng::with_seed(1);
    for affinity in 0..200 {
        let ask = RouteRequest {
            affinity: Some(affinity),
            ..words.ask(&[])
        };
        let mut names = Vec::new();
        for router in &mut routers {
            let key = router.choose(Time::ZERO, &ask, &mut rng).unwrap();
            names.push(router.name(key).unwrap().clone());
        }
        assert_eq!(names[0], names[1]);
    }
    let ask = RouteRequest {
        affinity: Some(7),
        ..words.ask(&[])
    };
    let first = routers[0].choose(Time::ZERO, &ask, &mut rng).unwrap();
    let name = routers[0].name(first).unwrap().clone();
    routers[0].set_state(Time::ZERO, &name, ServerState::Draining);
    let second = routers[0].choose(Time::ZERO, &ask, &mut rng).unwrap();
    assert_ne!(first, second);
    routers[0].set_state(Time::ZERO, &name, ServerState::Ready);
    let back = routers[0].choose(Time::ZERO, &ask, &mut rng).unwrap();
    assert_eq!(first, back);
}

#[test]
fn a_held_prefix_draws_until_its_server_is_busier_by_more_than_it_saves() {
    let words = Words::new();
    let mut router = router(8, 0);
    let holder = router.key(&Name::new("north-5")).unwrap();
    let event = CacheEvent {
        sequence: 1,
        prefix: 99,
        stored: true,
    };
    router.cache_event(Time::ZERO, holder, &event);
    let ask = RouteRequest {
        prefix: 99,
        ..words.ask(&[])
    };
    for i in 0..8 {
        let key = router.key(&Name::new(format!("north-{i}"))).unwrap();
        router.report(Time::ZERO, key, load(0, 1));
    }
    let mut rng = fastrand::Rng::with_seed(4);
    assert_eq!(router.choose(Time::ZERO, &ask, &mut rng), Ok(holder));
    router.report(Time::ZERO, holder, load(500, 1));
    assert_ne!(router.choose(Time::ZERO, &ask, &mut rng), Ok(holder));
}

#[test]
fn a_lost_region_costs_a_few_tries_and_then_one_probe_a_second() {
    // The own region's hosts are unreachable, and the list goes on showing them as ready. The caller
    // would see its tries used up one after the other. After three servers were lost the region is
    // passed over, but for one request a second that finds out whether it is back.
    let words = Words::new();
    let mut router = router(12, 6);
    let mut rng = fastrand::Rng::with_seed(2);
    let mut lost = 0;
    for i in 0..2_000u64 {
        let now = Time::from_millis(i * 5);
        let ask = words.ask(&[]);
        let key = router.choose(now, &ask, &mut rng).unwrap();
        router.started(now, key, &ask);
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
fn what_leaves_is_forgotten_once_its_last_request_is_over() {
    let words = Words::new();
    let mut router = router(1, 0);
    let key = router.key(&Name::new("north-0")).unwrap();
    router.started(Time::ZERO, key, &words.ask(&[]));
    router.set_servers(Time::ZERO, &[]);
    assert!(router.name(key).is_some());
    let end = AttemptEnd::new(AttemptResult::Ok, Duration::from_millis(4));
    router.finished(Time::ZERO, key, &end);
    assert!(router.name(key).is_none());
}

#[test]
fn draining_ejected_and_gone_servers_are_never_chosen() {
    fn never(steps: Vec<(u8, u8)>) -> bool {
        let words = Words::new();
        let mut router = router(6, 3);
        let mut rng = fastrand::Rng::with_seed(steps.len() as u64);
        let mut now = Time::ZERO;
        let mut states = [ServerState::Ready; 6];
        for (what, which) in steps {
            now = now + Duration::from_millis(u64::from(which) * 10);
            let index = usize::from(which) % 6;
            let name = Name::new(format!("north-{index}"));
            let state = match what % 4 {
                0 => ServerState::Ready,
                1 => ServerState::Draining,
                2 => ServerState::Gone,
                _ => states[index],
            };
            states[index] = state;
            router.set_state(now, &name, state);
            let ask = RouteRequest {
                affinity: (what > 128).then_some(u64::from(which)),
                ..words.ask(&[])
            };
            let key = router.choose(now, &ask, &mut rng).unwrap();
            let chosen = router.name(key).unwrap();
            let of = states.iter().enumerate();
            for (i, state) in of {
                if *state != ServerState::Ready && chosen.as_str() == format!("north-{i}") {
                    return false;
                }
            }
            router.started(now, key, &ask);
            let end = AttemptEnd::new(AttemptResult::Failed, Duration::from_millis(5));
            if what > 64 {
                router.finished(now, key, &end);
            }
        }
        true
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(never as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn retries_of_a_service_never_exceed_its_budget() {
    fn bounded(steps: Vec<(bool, u8)>) -> bool {
        let words = Words::new();
        let mut router = router(3, 0);
        let mut rng = fastrand::Rng::with_seed(1);
        let mut now = Time::ZERO;
        let mut first = 0.0;
        let mut retries = 0.0;
        for (fresh, pause) in steps {
            now = now + Duration::from_millis(u64::from(pause));
            if fresh {
                let key = router.choose(now, &words.ask(&[]), &mut rng).unwrap();
                router.started(now, key, &words.ask(&[]));
                first += 1.0;
            }
            let reason = RetryReason::AgentRefused;
            if router.may_retry(now, &words.service, reason).is_some() {
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
        .quickcheck(bounded as fn(Vec<(bool, u8)>) -> bool);
}
