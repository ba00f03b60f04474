//! Tests of when and from where a process pulls the configuration.

use std::time::Duration;

use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::config_chunks::root_digest;
use cicada_lib::config_pull::ConfigPuller;
use cicada_lib::config_pull::PullContext;
use cicada_lib::config_pull::PullSource;
use cicada_lib::ids::Name;
use cicada_lib::ids::Version;
use cicada_lib::membership::ConfigSeen;
use cicada_lib::platform::HostRole;
use cicada_lib::roster::Member;
use cicada_lib::time::Time;

const NOTHING: PullContext = PullContext {
    own: None,
    seen: None,
    watcher: false,
};

fn member(number: u16, region: &str, zone: &str) -> Member {
    Member {
        name: Name::new(format!("host-{number}")),
        role: HostRole::Agent,
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        service: Name::new("ceremony"),
        region: Name::new(region),
        zone: Name::new(zone),
    }
}

fn mark(version: u64) -> ConfigVersionId {
    ConfigVersionId {
        version: Version(version),
        digest: root_digest(&version.to_le_bytes()),
    }
}

fn new_puller(rng: &mut fastrand::Rng) -> ConfigPuller {
    ConfigPuller::new(Time::ZERO, Name::new("north"), Name::new("north-1"), rng)
}

/// All 1,370 processes start at once and none has a configuration. If each read the store immediately,
/// the 1,370 reads of the root and as many of each chunk would exceed the store's rate limit for
/// seconds.
#[test]
fn a_mass_start_spreads_reads_of_the_store() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut all: Vec<_> = (0..1_370).map(|_| new_puller(&mut rng)).collect();
    let mut most = 0;
    let mut total = 0;
    for second in 0..12 {
        let mut reads = 0;
        for step in 0..10 {
            let now = Time::from_millis(second * 1_000 + step * 100);
            for (number, puller) in all.iter_mut().enumerate() {
                let watcher = number < 20;
                let view = PullContext { watcher, ..NOTHING };
                if puller.next_pull(now, view, &mut rng).is_some() {
                    reads += 1;
                    puller.record_result(now, true, &mut rng);
                }
            }
        }
        let bound = if second < 3 { 20 } else { 400 };
        assert!(reads <= bound, "{reads} reads in second {second}");
        most = most.max(reads);
        total += reads;
    }
    assert!(most < 250 && total >= 1_370, "{most} of {total}");
}

/// A new version is known from gossip and every pull fails. The process tries three peers, nearest
/// first, before it reads the store, and reads the store only once within several seconds.
#[test]
fn near_peers_are_tried_first_and_the_store_last() {
    let mut rng = fastrand::Rng::with_seed(2);
    let mut puller = new_puller(&mut rng);
    let seen = ConfigSeen {
        mark: mark(2),
        holders: vec![
            member(1, "south", "south-1"),
            member(2, "north", "north-2"),
            member(3, "north", "north-1"),
            member(4, "north", "north-1"),
        ],
    };
    let own = mark(1);
    let view = PullContext {
        own: Some(&own),
        seen: Some(&seen),
        watcher: false,
    };
    let mut pulls = Vec::new();
    for step in 0..80 {
        let now = Time::from_millis(1_000 + step * 100);
        if let Some(pull) = puller.next_pull(now, view, &mut rng) {
            pulls.push(pull);
            puller.record_result(now, false, &mut rng);
        }
    }
    let zone = |pull: &PullSource| match pull {
        PullSource::Peer(member) => member.zone.as_str().to_owned(),
        PullSource::Store => "store".to_owned(),
    };
    let zones: Vec<_> = pulls.iter().map(zone).collect();
    assert_eq!(zones[..4], ["north-1", "north-1", "north-2", "store"]);
    let reads = zones.iter().filter(|zone| *zone == "store").count();
    assert_eq!(reads, 1, "{zones:?}");
}

/// The newest version known from gossip is the applied one, or older. Nothing is pulled.
#[test]
fn nothing_is_pulled_for_a_version_that_is_not_newer() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut puller = new_puller(&mut rng);
    let own = mark(5);
    for version in [4, 5] {
        let seen = ConfigSeen {
            mark: mark(version),
            holders: vec![member(1, "north", "north-1")],
        };
        let view = PullContext {
            own: Some(&own),
            seen: Some(&seen),
            watcher: false,
        };
        let pull = puller.next_pull(Time::from_millis(20_000), view, &mut rng);
        assert_eq!(pull, None);
    }
}

/// Gossip and watchers fail together without an error. A process polls the store after some minutes,
/// so that a change is delayed but not missed.
#[test]
fn a_process_polls_the_store_without_gossip() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut puller = new_puller(&mut rng);
    let own = mark(5);
    let view = PullContext {
        own: Some(&own),
        ..NOTHING
    };
    let polls = (0..900).filter(|second| {
        let now = Time::ZERO + Duration::from_secs(*second);
        let pull = puller.next_pull(now, view, &mut rng);
        if pull.is_some() {
            puller.record_result(now, true, &mut rng);
        }
        pull == Some(PullSource::Store)
    });
    let polls = polls.count();
    assert!((3..=9).contains(&polls), "{polls} in 15 minutes");
}
