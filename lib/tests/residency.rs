//! Regions in which a request may be served.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::residency::AllowedRegions;
use cicada_lib::route_table::Admitted;
use cicada_lib::route_table::RouteTable;
use cicada_lib::site::CallKind;
use cicada_lib::site::Route;
use cicada_lib::site::Share;
use cicada_lib::site::SiteConfig;
use cicada_lib::site::SiteWorkspace;
use quickcheck::TestResult;
use quickcheck::quickcheck;

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::only(regions.iter().map(Name::new))
}

fn table(version: u64, route: AllowedRegions, workspace: AllowedRegions) -> RouteTable {
    RouteTable::new(Arc::new(SiteConfig {
        version,
        routes: vec![Route {
            name: Name::new("drafts"),
            host: Name::new("rites.example"),
            prefix: Name::new("/"),
            kind: CallKind::Streaming,
            timeout: Duration::from_secs(30),
            objective: Duration::from_secs(2),
            event_gap: Duration::ZERO,
            priority: 0,
            shares: vec![Share {
                service: Name::new("llm"),
                weight: 1,
            }],
            max_attempts: 1,
            resumable: false,
            anonymous: true,
            regions: route,
        }],
        workspaces: vec![SiteWorkspace {
            name: Name::new("chapel"),
            keys: vec![Name::new("key")],
            priority: None,
            regions: workspace,
        }],
        ..SiteConfig::default()
    }))
}

fn admitted(table: &RouteTable, key: Option<&str>) -> Admitted {
    table.admit("rites.example", "/", key).expect("a route")
}

#[test]
fn route_and_workspace_restrictions_both_apply() {
    let table = table(1, only(&["north", "south"]), only(&["south", "west"]));
    assert_eq!(admitted(&table, Some("key")).regions, only(&["south"]));
    assert_eq!(admitted(&table, None).regions, only(&["north", "south"]));
}

/// Guards against an empty intersection that is treated as no restriction.
#[test]
fn disjoint_restrictions_allow_no_region() {
    let table = table(1, only(&["north"]), only(&["south"]));
    let regions = admitted(&table, Some("key")).regions;
    for region in ["north", "south", "unknown"] {
        assert!(!regions.permits(&Name::new(region)), "{region}");
    }
}

/// Guards against a retry or move that uses the outdated restriction of the configuration version that admitted the
/// request.
#[test]
fn a_new_restriction_applies_to_admitted_requests() {
    let before = table(1, AllowedRegions::Any, only(&["north", "south"]));
    let admitted = admitted(&before, Some("key"));
    assert_eq!(before.regions_now(&admitted), only(&["north", "south"]));
    let after = table(2, only(&["north", "west"]), AllowedRegions::Any);
    assert_eq!(after.regions_now(&admitted), only(&["north"]));
}

/// Requests that a route or workspace admitted stay restricted after it is removed.
#[test]
fn a_restriction_outlives_its_route() {
    let before = table(1, only(&["north"]), AllowedRegions::Any);
    let admitted = admitted(&before, Some("key"));
    let after = RouteTable::new(Arc::new(SiteConfig {
        version: 2,
        ..SiteConfig::default()
    }));
    assert_eq!(after.regions_now(&admitted), only(&["north"]));
}

quickcheck! {
    fn an_intersection_permits_what_both_permit(one: Vec<u8>, two: Vec<u8>, any: (bool, bool)) -> TestResult {
        let regions = |numbers: &[u8], any| match any {
            true => AllowedRegions::Any,
            false => AllowedRegions::only(numbers.iter().map(|n| Name::new(format!("r-{}", n % 6)))),
        };
        let (one, two) = (regions(&one, any.0), regions(&two, any.1));
        let both = one.and(&two);
        let names = (0..6).map(|n| Name::new(format!("r-{n}")));
        let mut names = names.into_iter();
        TestResult::from_bool(names.all(|n| both.permits(&n) == (one.permits(&n) && two.permits(&n))))
    }
}
