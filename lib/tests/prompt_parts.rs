//! Parts of prompts that crash servers, in a simulated fleet of entries, in requests of which no two are alike.

use std::time::Duration;

use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::ids::Name;
use cicada_lib::time::Time;
use testutils::suspect_fleet::DELAY_MS;
use testutils::suspect_fleet::Fleet;
use testutils::suspect_fleet::Net;
use testutils::suspect_fleet::RUN;
use testutils::suspect_fleet::SOUND;
use testutils::suspect_fleet::begin;

/// The most servers that one part takes where its requests come one after the other.
const MAX_CRASHES: usize = 3;

/// Crashes after which a part is known, the time until it is known everywhere, and the crashes tolerated from then on.
const PROOF: usize = 5;
const PROOF_TIME: Duration = Duration::from_secs(5);
const MAX_LATE: usize = 3;

/// How long deadly requests come, in milliseconds.
const LENGTH_MS: u64 = 25_000;

const SERVERS: usize = 12;

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Play {
    entries: usize,
    net: Net,
    // Shared parts of each prompt, and the place of the deadly one among them.
    parts: u64,
    place: u64,
    // Deadly requests at the first moment, and from then on the interval between two, in milliseconds.
    at_once: usize,
    interval_ms: u64,
    sound_interval_ms: u64,
    // Whether servers have answered on the part before.
    was_sound: bool,
    // How long sound requests come alone, in milliseconds.
    calm_ms: u64,
    // When sound requests begin to come, in milliseconds.
    sound_from_ms: u64,
}

const PLAY: Play = Play {
    entries: 4,
    net: SOUND,
    parts: 3,
    place: 1,
    at_once: 1,
    interval_ms: 200,
    sound_interval_ms: 50,
    was_sound: false,
    calm_ms: 5_000,
    sound_from_ms: 0,
};

/// What came of it.
struct Outcome {
    fleet: Fleet,
    // Sound requests that came seconds after the deadly ones began.
    later: Vec<Fingerprint>,
}

fn part(number: u64) -> Fingerprint {
    Fingerprint::of_prompt_part(&Name::new("liturgy"), number)
}

impl Play {
    /// The subjects of a new request: itself and the parts of its prompt, the deadly one among them or not.
    fn subjects(&self, request: u128, is_deadly: bool) -> Vec<Fingerprint> {
        let parts = (0..self.parts).filter(|p| is_deadly || *p != self.place);
        std::iter::once(Fingerprint(request))
            .chain(parts.map(part))
            .collect()
    }

    fn run(self, seed: u64) -> Outcome {
        let mut fleet = Fleet::new(seed, self.entries, SERVERS);
        fleet.net = self.net;
        let mut later = Vec::new();
        let mut request = 0;
        for ms in 0..self.calm_ms + LENGTH_MS {
            let now = begin() + Duration::from_millis(ms);
            let since = ms.checked_sub(self.calm_ms);
            if ms >= self.sound_from_ms && ms % self.sound_interval_ms == 0 {
                request += 1;
                let has_part = self.was_sound && since.is_none();
                fleet.send(now, &self.subjects(request, has_part), false);
                if since.is_some_and(|ms| (10_000..LENGTH_MS - 2_000).contains(&ms)) {
                    later.push(Fingerprint(request));
                }
            }
            let copies = match since {
                Some(0) => self.at_once,
                Some(ms) if ms % self.interval_ms == 0 => 1,
                _ => 0,
            };
            for _ in 0..copies {
                request += 1;
                fleet.send(now, &self.subjects(request, true), true);
            }
            fleet.step(now);
        }
        Outcome { fleet, later }
    }
}

impl Outcome {
    fn crashes(&self) -> usize {
        self.fleet.crashes.len()
    }

    fn late(&self) -> usize {
        let Some(proof) = self.fleet.crashes.get(PROOF - 1) else {
            return 0;
        };
        let late = self.fleet.crashes.iter();
        late.filter(|at| **at > *proof + PROOF_TIME).count()
    }

    /// The share of the later sound requests that were served at the first attempt.
    fn served(&self) -> f64 {
        let served = self.later.iter().filter(|r| self.fleet.served.contains(r));
        served.count() as f64 / self.later.len() as f64
    }
}

/// Guards against a deadly part that takes a server with each new request, through any number of entries.
#[test]
fn a_deadly_part_crashes_three_servers_and_no_sound_request_waits() {
    for entries in [1, 4, 29, 100] {
        for interval_ms in [200, 600] {
            let play = Play {
                entries,
                interval_ms,
                ..PLAY
            };
            let outcome = play.run(entries as u64 + interval_ms);
            assert!(outcome.crashes() <= MAX_CRASHES, "{play:?}");
            assert!(outcome.served() > 0.99, "{play:?} {}", outcome.served());
        }
    }
}

/// Guards against a part that is found in one place of the prompt only, or whose neighbours are convicted with it.
#[test]
fn a_deadly_part_is_told_from_the_others_in_any_place() {
    for parts in [2, 3, 7, 12] {
        for place in [0, parts / 2, parts - 1] {
            let play = Play {
                parts,
                place,
                ..PLAY
            };
            let outcome = play.run(parts * 100 + place);
            assert!(outcome.crashes() <= MAX_CRASHES, "{play:?}");
            assert!(outcome.served() > 0.99, "{play:?} {}", outcome.served());
        }
    }
}

/// Guards against requests at the same moment that each add to what later ones may take.
#[test]
fn deadly_requests_at_the_same_moment_cost_two_servers_more_than_they_take() {
    for at_once in [6, 20] {
        let play = Play { at_once, ..PLAY };
        let outcome = play.run(at_once as u64);
        let first = begin() + Duration::from_millis(PLAY.calm_ms) + RUN * 3;
        let at_once = outcome.fleet.crashes.iter().filter(|at| **at <= first);
        assert!(outcome.crashes() <= at_once.count() + 2, "{play:?}");
        assert_eq!(outcome.late(), 0, "{play:?}");
        assert!(outcome.served() > 0.99, "{play:?} {}", outcome.served());
    }
}

/// Guards against a part that is excused for good since servers answered on it before it became deadly.
#[test]
fn a_part_that_was_sound_and_kills_from_now_on_is_held_back() {
    for (entries, interval_ms) in [(1, 200), (4, 600), (29, 200)] {
        let play = Play {
            entries,
            interval_ms,
            was_sound: true,
            ..PLAY
        };
        let outcome = play.run(entries as u64);
        assert!(outcome.crashes() <= PROOF + MAX_LATE, "{play:?}");
        assert_eq!(outcome.late(), 0, "{play:?}");
        assert!(outcome.served() > 0.95, "{play:?} {}", outcome.served());
    }
}

/// Guards against neighbours of a deadly part that are convicted with it since no server has answered on them before.
#[test]
fn parts_that_nobody_knows_yet_are_told_apart() {
    for entries in [1, 4, 29] {
        for sound_from_ms in [0, 3_000, 8_000] {
            let play = Play {
                entries,
                sound_from_ms,
                calm_ms: 0,
                ..PLAY
            };
            let outcome = play.run(entries as u64);
            assert!(outcome.crashes() <= MAX_CRASHES, "{play:?}");
            assert!(outcome.served() > 0.99, "{play:?} {}", outcome.served());
        }
    }
}

/// Guards against sound parts that are convicted with a deadly one since they are seldom seen without it.
#[test]
fn parts_that_are_seldom_sent_without_the_deadly_one_are_not_convicted() {
    for sound_interval_ms in [1_000, 3_000] {
        let play = Play {
            sound_interval_ms,
            ..PLAY
        };
        let outcome = play.run(sound_interval_ms);
        assert!(outcome.crashes() <= MAX_CRASHES, "{play:?}");
        assert!(outcome.served() > 0.99, "{play:?} {}", outcome.served());
    }
}

/// Guards against messages that are late or lost and leave entries without what others know.
#[test]
fn late_and_lost_messages_cost_few_servers_more() {
    let late = Net {
        delay: (500, 1_000),
        loss: 0.0,
    };
    let lossy = Net {
        delay: (1, DELAY_MS),
        loss: 0.5,
    };
    for net in [late, lossy] {
        for entries in [4, 29] {
            let play = Play {
                entries,
                net,
                ..PLAY
            };
            let outcome = play.run(entries as u64);
            assert!(outcome.late() <= MAX_LATE, "{play:?}");
            assert!(outcome.served() > 0.9, "{play:?} {}", outcome.served());
        }
    }
}

/// Guards against parts that many requests share and that are refused since servers crash under requests that have them.
#[test]
fn shared_parts_are_served_while_servers_crash_for_other_reasons() {
    for (entries, seed) in [(4, 1), (29, 2)] {
        let mut fleet = Fleet::new(seed, entries, SERVERS);
        let mut request = 0;
        for ms in 0..LENGTH_MS {
            let now: Time = begin() + Duration::from_millis(ms);
            if ms % 20 == 0 {
                request += 1;
                fleet.send(now, &PLAY.subjects(request, false), false);
            }
            if ms % 1_500 == 0 {
                (0..4).for_each(|server| fleet.crash(now, server));
            }
            fleet.step(now);
        }
        assert!(fleet.refused.is_empty(), "{:?}", fleet.refused);
        let served = fleet.served.len() as f64 / request as f64;
        assert!(served > 0.9, "{served}");
    }
}
