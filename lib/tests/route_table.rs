//! Tests the lookup of routes and workspaces, and the weighted choice of a service.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::residency::AllowedRegions;
use cicada_lib::route_table::AdmissionChange;
use cicada_lib::route_table::Denied;
use cicada_lib::route_table::RouteTable;
use cicada_lib::route_table::pick_service;
use cicada_lib::route_table::time_limit;
use cicada_lib::site::CallKind;
use cicada_lib::site::Route;
use cicada_lib::site::Share;
use cicada_lib::site::SiteConfig;
use cicada_lib::site::SiteWorkspace;

fn route(name: &str, prefix: &str, anonymous: bool) -> Route {
    Route {
        name: Name::new(name),
        host: Name::new("rites.example"),
        prefix: Name::new(prefix),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        event_gap: Duration::ZERO,
        priority: 2,
        shares: vec![share("booking", 1)],
        max_attempts: 1,
        resumable: false,
        anonymous,
        regions: AllowedRegions::Any,
    }
}

fn share(service: &str, weight: u32) -> Share {
    Share {
        service: Name::new(service),
        weight,
    }
}

fn table() -> RouteTable {
    let workspace = |name: &str, key: &str, priority| SiteWorkspace {
        name: Name::new(name),
        keys: vec![Name::new(key)],
        priority,
        regions: AllowedRegions::Any,
    };
    RouteTable::new(Arc::new(SiteConfig {
        version: 7,
        routes: vec![
            route("all", "/", false),
            route("slots", "/slots/", false),
            route("open", "/slots/open/", true),
        ],
        workspaces: vec![
            workspace("chapel", "key-1", Some(0)),
            workspace("abbey", "key-2", None),
        ],
        ..SiteConfig::default()
    }))
}

#[test]
fn the_longest_matching_prefix_wins() {
    let table = table();
    for (path, name) in [
        ("/", "all"),
        ("/slots", "all"),
        ("/slots/", "slots"),
        ("/slots/7", "slots"),
        ("/slots/open", "slots"),
        ("/slots/open/7", "open"),
    ] {
        let admitted = table.admit("rites.example", path, Some("key-1"));
        assert_eq!(
            admitted.map(|a| a.route.name),
            Ok(Name::new(name)),
            "{path}"
        );
    }
}

#[test]
fn host_matching_ignores_case_and_port() {
    let table = table();
    assert!(
        table
            .admit("Rites.Example:8740", "/", Some("key-1"))
            .is_ok()
    );
    let other = table.admit("other.example", "/", Some("key-1"));
    assert_eq!(other.map(|a| a.version), Err(Denied::NoRoute));
}

#[test]
fn a_key_selects_the_workspace_and_its_priority_overrides_the_route() {
    let table = table();
    let chapel = table.admit("rites.example", "/", Some("key-1")).unwrap();
    assert_eq!(
        (chapel.workspace, chapel.priority),
        (Some(Name::new("chapel")), 0)
    );
    let abbey = table.admit("rites.example", "/", Some("key-2")).unwrap();
    assert_eq!(
        (abbey.workspace, abbey.priority),
        (Some(Name::new("abbey")), 2)
    );
    for key in [None, Some("key-3"), Some("")] {
        let denied = table.admit("rites.example", "/", key);
        assert_eq!(denied.map(|a| a.version), Err(Denied::BadKey));
    }
}

#[test]
fn an_anonymous_route_needs_no_key_but_recognizes_one() {
    let table = table();
    let path = "/slots/open/1";
    assert_eq!(
        table
            .admit("rites.example", path, Some("key-3"))
            .unwrap()
            .workspace,
        None
    );
    let known = table.admit("rites.example", path, Some("key-2")).unwrap();
    assert_eq!(known.workspace, Some(Name::new("abbey")));
}

#[test]
fn services_are_picked_by_weight() {
    let mut split = route("split", "/", false);
    split.shares = vec![share("a", 90), share("none", 0), share("b", 10)];
    let picked = |name: &str| {
        let draws = (0..1_000).map(|n| f64::from(n) / 1_000.0);
        let services = draws.filter_map(|draw| pick_service(&split, draw));
        services.filter(|service| service.as_str() == name).count()
    };
    assert_eq!((picked("a"), picked("none"), picked("b")), (900, 0, 100));
}

#[test]
fn the_time_limit_is_the_shorter_of_deadline_and_route_timeout() {
    let route = route("all", "/", false);
    let secs = Duration::from_secs;
    assert_eq!(time_limit(&route, Some(secs(1))), secs(1));
    assert_eq!(time_limit(&route, Some(secs(9))), secs(2));
    assert_eq!(time_limit(&route, None), secs(2));
}

/// Guards against a request that is sent after the configuration has dropped its route, its key or its service.
#[test]
fn an_admitted_request_is_checked_against_a_later_configuration() -> Result<(), Denied> {
    let table = table();
    let admitted = table.admit("rites.example", "/slots/3", Some("key-1"))?;
    let check = |change: &dyn Fn(&mut SiteConfig)| {
        let mut config = SiteConfig::clone(table.config());
        config.version += 1;
        change(&mut config);
        let later = RouteTable::new(Arc::new(config));
        later.check_again(&admitted, &Name::new("booking"), Some("key-1"))
    };
    let denied = |why| Err(AdmissionChange::Denied(why));
    assert_eq!(check(&|_| {}), Ok(()));
    assert_eq!(
        check(&|config| {
            config.routes.remove(1);
        }),
        denied(Denied::NoRoute)
    );
    assert_eq!(
        check(&|config| config.workspaces[0].keys.clear()),
        denied(Denied::BadKey)
    );
    let moved = check(&|config| {
        let key = config.workspaces[0].keys.remove(0);
        config.workspaces[1].keys.push(key);
    });
    assert_eq!(moved, denied(Denied::BadKey));
    let rerouted = check(&|config| config.routes[1].shares = vec![share("vestry", 1)]);
    assert_eq!(rerouted, Err(AdmissionChange::Rerouted));
    Ok(())
}

/// Guards against slack that is counted over the objective of a plain route, or of a route to another service.
#[test]
fn the_tightest_objective_is_that_of_the_streaming_routes_to_the_service() {
    let streaming = |name, objective, service| Route {
        kind: CallKind::Streaming,
        objective: Duration::from_millis(objective),
        shares: vec![share(service, 1)],
        ..route(name, "/", false)
    };
    let table = RouteTable::new(Arc::new(SiteConfig {
        routes: vec![
            streaming("drafts", 4_000, "llm"),
            streaming("checks", 1_500, "llm"),
            streaming("others", 900, "small"),
            route("plain", "/plain/", false),
        ],
        ..SiteConfig::default()
    }));
    let tightest = |service| table.tightest_objective(&Name::new(service));
    assert_eq!(tightest("llm"), Some(Duration::from_millis(1_500)));
    assert_eq!(tightest("booking"), None);
}
