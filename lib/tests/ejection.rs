//! Tests of outlier ejection: which servers are ejected, and how they are readmitted.

use std::time::Duration;

use cicada_lib::ejection::BASE_EJECTION_TIME;
use cicada_lib::ejection::EjectionSettings;
use cicada_lib::ejection::Ejector;
use cicada_lib::ejection::SLOW_START;
use cicada_lib::routing::ServerKey;
use cicada_lib::time::Time;
use quickcheck::QuickCheck;
use slotmap::SlotMap;

struct Servers {
    ejector: Ejector,
    keys: Vec<ServerKey>,
    now: Time,
}

impl Servers {
    fn new(count: usize) -> Self {
        let mut map: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let mut ejector = Ejector::new(EjectionSettings::new());
        let keys: Vec<ServerKey> = (0..count).map(|_| map.insert(())).collect();
        for key in &keys {
            ejector.add_server(Time::ZERO, *key, false);
        }
        Servers {
            ejector,
            keys,
            now: Time::ZERO,
        }
    }

    /// Simulates one second in which each server ends 20 requests. `millis` has each server's time per
    /// request, where zero stands for a failure.
    fn run_second(&mut self, millis: &[u64]) {
        for (key, millis) in self.keys.iter().zip(millis) {
            for _ in 0..20 {
                match millis {
                    0 => self.ejector.record_failure(self.now, *key),
                    _ => {
                        self.ejector
                            .record_success(self.now, *key, Duration::from_millis(*millis))
                    }
                }
            }
        }
        self.now = self.now + Duration::from_secs(1);
        self.ejector.sweep(self.now, &self.keys);
    }

    fn ejected(&self) -> Vec<usize> {
        let keys = self.keys.iter().enumerate();
        let ejected = keys.filter(|(_, key)| self.ejector.is_ejected(**key));
        ejected.map(|(i, _)| i).collect()
    }
}

#[test]
fn the_slow_one_of_five_is_ejected_after_a_second() {
    let mut servers = Servers::new(5);
    servers.run_second(&[40, 45, 200, 38, 50]);
    assert_eq!(servers.ejected(), [2]);
}

#[test]
fn a_server_that_fails_quickly_is_ejected() {
    let mut servers = Servers::new(5);
    servers.run_second(&[40, 45, 0, 38, 50]);
    assert_eq!(servers.ejected(), [2]);
}

#[test]
fn none_is_ejected_when_all_are_slow_or_all_fail() {
    let mut servers = Servers::new(5);
    servers.run_second(&[40, 45, 41, 38, 50]);
    servers.run_second(&[400, 450, 410, 380, 500]);
    servers.run_second(&[0, 0, 0, 0, 0]);
    servers.run_second(&[0, 0, 0, 0, 0]);
    assert!(servers.ejected().is_empty());
}

#[test]
fn none_of_two_is_ejected() {
    let mut servers = Servers::new(2);
    servers.run_second(&[40, 4_000]);
    assert!(servers.ejected().is_empty());
}

#[test]
fn readmission_starts_slowly_and_the_ejection_time_doubles() {
    let mut servers = Servers::new(5);
    servers.run_second(&[40, 45, 200, 38, 50]);
    let key = servers.keys[2];
    let first = servers.now;
    while servers.ejector.is_ejected(key) {
        servers.run_second(&[40, 45, 0, 38, 50]);
    }
    assert_eq!(servers.now.since(first), BASE_EJECTION_TIME);
    let share = servers.ejector.load_share(servers.now, key);
    assert!(share < 0.2, "{share}");
    assert_eq!(
        servers.ejector.load_share(servers.now + SLOW_START, key),
        1.0
    );
    servers.run_second(&[40, 45, 200, 38, 50]);
    let second = servers.now;
    while servers.ejector.is_ejected(key) {
        servers.run_second(&[40, 45, 200, 38, 50]);
    }
    assert_eq!(servers.now.since(second), 2 * BASE_EJECTION_TIME);
}

#[test]
fn an_ejected_server_is_readmitted_when_the_others_leave() {
    // Four of five servers leave while the fifth is ejected. A slow server is better than none.
    let mut servers = Servers::new(5);
    servers.run_second(&[40, 45, 200, 38, 50]);
    servers.ejector.limit_ejected(servers.now, 1);
    assert!(servers.ejected().is_empty());
}

#[test]
fn at_most_a_fifth_is_ejected_at_a_time() {
    fn bounded(size: u8, seconds: Vec<Vec<u16>>) -> bool {
        let size = 3 + usize::from(size % 30);
        let mut servers = Servers::new(size);
        for times in seconds {
            let millis: Vec<u64> = times.iter().map(|t| u64::from(*t)).collect();
            let cycle = millis.iter().copied().chain([40]).cycle();
            servers.run_second(&cycle.take(size).collect::<Vec<_>>());
            let most = (size / 5).max(1);
            if servers.ejected().len() > most
                || servers.ejected().len() != servers.ejector.ejected_count()
            {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(bounded as fn(u8, Vec<Vec<u16>>) -> bool);
}
