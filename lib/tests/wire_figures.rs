//! Figures out of any proportion, in what the system's own processes send and engines report.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::EngineRun;
use cicada_lib::engine_load_tracker::EngineLoadTracker;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::peer_messages::PeerRequest;
use cicada_lib::peer_messages::PeerResponse;
use cicada_lib::peer_messages::RequestSent;
use cicada_lib::peer_messages::ScoutReport;
use cicada_lib::rejections::Rejections;
use cicada_lib::rejections::Statement;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerListing;
use cicada_lib::site::ServerPhase;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::SiteConfig;
use cicada_lib::time::Time;
use cicada_lib::wire_figures;
use cicada_lib::wire_figures::CheckFigures;
use cicada_lib::wire_figures::MAX_REQUESTS;
use cicada_lib::wire_figures::MAX_SLOTS;
use cicada_lib::wire_figures::MAX_TIME;
use cicada_lib::wire_figures::MAX_TOKENS;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const CASES: u64 = 2_000;

const NOW: Time = Time::from_millis(1_000);

/// A whole number: small, near a bound, or near the end of its range.
#[derive(Clone, Copy, Debug)]
struct Figure(u64);

impl Arbitrary for Figure {
    fn arbitrary(g: &mut Gen) -> Self {
        let near = *g
            .choose(&[
                0,
                u64::from(MAX_REQUESTS),
                u64::from(MAX_SLOTS),
                u64::from(u32::MAX),
                MAX_TOKENS,
                1 << 56,
                u64::MAX,
            ])
            .unwrap_or(&0);
        let off = u64::arbitrary(g) % 3;
        Figure(match bool::arbitrary(g) {
            true => near.saturating_sub(off),
            false => near.saturating_add(off),
        })
    }
}

impl Figure {
    fn short(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }
}

fn location() -> EngineLocation {
    EngineLocation {
        address: ([10, 0, 0, 1], 8_701).into(),
        service: Name::new("drafts"),
        zone: Name::new("a"),
    }
}

fn record(slots: u32, cold: Duration) -> ServerRecord {
    ServerRecord {
        id: Name::new("e-1"),
        service: Name::new("drafts"),
        address: location().address,
        zone: Name::new("a"),
        slots,
        phase: ServerPhase::Ready,
        cold,
        born: 1,
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: [(Name::new("a"), Name::new("r"))].into_iter().collect(),
    });
    fleet.apply_change(NOW, &ServerChange::Put(record(24, Duration::ZERO)));
    fleet
}

/// The datagram as another process reads it.
fn carried(datagram: &Datagram) -> Option<Datagram> {
    let bytes = peer_messages::encode(datagram).expect("plain data");
    peer_messages::decode(&bytes).ok()
}

/// Guards against a scout that asks for 137 GB since its engine reports four billion waiting requests.
#[test]
fn a_report_of_four_billion_waiting_requests_is_rejected() {
    let report = EngineReport {
        queued: u32::MAX,
        reading: u32::MAX,
        ..EngineReport::default()
    };
    let error = report.check_figures().expect_err("out of bounds");
    assert_eq!(error.field(), "queued");
    let message = error.to_string();
    assert!(message.contains("queued is 4.294967295e9"), "{message}");
}

/// Guards against arithmetic that overflows, and against memory without bound, at any report that is accepted.
#[test]
fn any_accepted_engine_report_is_forecast() {
    fn holds(
        figures: Vec<Figure>,
        runs: Vec<(Figure, Figure)>,
        sent: Vec<(Figure, Figure)>,
    ) -> bool {
        let mut figures = figures.into_iter().chain([Figure(0); 5]);
        let mut next = || figures.next().unwrap_or(Figure(0));
        let (queued, running) = (next().short(), next().short());
        let runs = runs
            .iter()
            .enumerate()
            .map(|(id, (tokens, events))| EngineRun {
                id: Name::new(id.to_string()),
                tokens: tokens.0,
                events: events.0,
                rank: 0,
            });
        let report = EngineReport {
            queued,
            running,
            reading: queued.saturating_add(running),
            used: next().0,
            capacity: next().0,
            leaves: Some(Duration::from_millis(next().0)),
            runs: runs.collect(),
            ..EngineReport::default()
        };
        if report.check_figures().is_err() {
            return true;
        }
        let mut tracker = EngineLoadTracker::new();
        for (id, (prompt, tokens)) in sent.iter().enumerate() {
            let sent = RequestSent {
                id: Name::new(format!("sent-{id}")),
                engine: location().address,
                prompt: prompt.0,
                tokens: tokens.0,
            };
            if let Some(Datagram::RequestSent(sent)) = carried(&Datagram::RequestSent(sent)) {
                tracker.record_sent(NOW, &sent);
            }
        }
        tracker.update(NOW, report.clone());
        let forecast = tracker.forecast(NOW, None);
        let load = EngineLoad {
            peak_tokens: forecast.peak_tokens,
            prefill_tokens: forecast.prefill_tokens,
            ..EngineLoad::default()
        };
        report.reading <= 2 * MAX_REQUESTS && load.check_figures().is_ok()
    }
    QuickCheck::new()
        .tests(CASES / 10)
        .quickcheck(holds as fn(Vec<Figure>, Vec<(Figure, Figure)>, Vec<(Figure, Figure)>) -> bool);
}

/// Guards against a relay that ends at a figure in a scout's or another relay's message.
#[test]
fn any_accepted_load_is_applied() {
    fn holds(short: Vec<Figure>, long: Vec<Figure>) -> bool {
        let mut short = short.into_iter().map(Figure::short).chain([0; 8]);
        let mut long = long.into_iter().map(|figure| figure.0).chain([0; 6]);
        let load = EngineLoad {
            queued: short.next().unwrap_or(0),
            running: short.next().unwrap_or(0),
            prefilling: short.next().unwrap_or(0),
            prefill_rate: short.next().unwrap_or(0),
            cold: short.next().unwrap_or(0),
            leaves: short.next(),
            interval_ms: short.next().unwrap_or(0),
            used: long.next().unwrap_or(0),
            peak_tokens: long.next().unwrap_or(0),
            prefill_tokens: long.next().unwrap_or(0),
            capacity: long.next().unwrap_or(0),
            ..EngineLoad::default()
        };
        let engine = location();
        let mut fleet = fleet();
        if let Some(Datagram::Report(report)) =
            carried(&Datagram::Report(ScoutReport { engine, load }))
        {
            fleet.apply_report(NOW, &report.engine, &report.load);
        }
        let probe = LoadProbe {
            id: Name::new("p"),
            engine: location().address,
            prompt: long.next().unwrap_or(0),
            tokens: long.next().unwrap_or(0),
            probed_engines: short.next().unwrap_or(0),
        };
        if let Some(Datagram::LoadProbe(probe)) = carried(&Datagram::LoadProbe(probe)) {
            let mut tracker = EngineLoadTracker::new();
            tracker.reserve(NOW, &probe);
            tracker.forecast(NOW, None);
        }
        true
    }
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(holds as fn(Vec<Figure>, Vec<Figure>) -> bool);
}

/// Guards against a process that ends at bytes which are no message.
#[test]
fn any_bytes_are_a_message_or_an_error() {
    fn holds(mut bytes: Vec<u8>, kind: u8) -> bool {
        bytes.insert(0, kind % 24);
        let datagram = peer_messages::decode::<Datagram>(&bytes);
        let request = peer_messages::decode::<PeerRequest>(&bytes);
        let response = peer_messages::decode::<PeerResponse>(&bytes);
        datagram.is_ok_and(|datagram| datagram.check_figures().is_err())
            | request.is_ok_and(|request| request.check_figures().is_err())
            | response.is_ok_and(|response| response.check_figures().is_err())
    }
    fn fails(bytes: Vec<u8>, kind: u8) -> bool {
        !holds(bytes, kind)
    }
    QuickCheck::new()
        .tests(20 * CASES)
        .quickcheck(fails as fn(Vec<u8>, u8) -> bool);
}

/// Guards against a record of another relay with a time, or a number of slots, that the readers of the store reject.
#[test]
fn records_and_configurations_of_other_relays_are_checked_as_well() {
    let sound = record(24, Duration::from_secs(3));
    assert!(sound.check_figures().is_ok());
    for odd in [
        record(MAX_SLOTS + 1, Duration::ZERO),
        record(24, Duration::MAX),
        record(24, MAX_TIME + Duration::from_secs(1)),
    ] {
        let listing = ServerListing {
            servers: vec![sound.clone(), odd.clone()],
            ..ServerListing::default()
        };
        let bytes = peer_messages::encode(&PeerResponse::Servers(listing)).expect("plain data");
        assert!(
            peer_messages::decode::<PeerResponse>(&bytes).is_err(),
            "{odd:?}"
        );
        assert!(ServerChange::Put(odd) != ServerChange::Put(sound.clone()));
    }
    let mut config = SiteConfig::default();
    config.limits.idle_timeout = Duration::MAX;
    let bytes = peer_messages::encode(&PeerResponse::Config(Arc::new(config))).expect("plain data");
    assert!(peer_messages::decode::<PeerResponse>(&bytes).is_err());
}

/// Guards against a time that fits into no duration.
#[test]
fn any_number_of_milliseconds_is_a_time_within_the_bound_or_an_error() {
    fn holds(bits: u64) -> bool {
        let ms = f64::from_bits(bits);
        wire_figures::millis("ms", ms).is_ok_and(|time| time > MAX_TIME) as u8
            + wire_figures::seconds("s", ms).is_ok_and(|time| time > MAX_TIME) as u8
            == 0
    }
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(holds as fn(u64) -> bool);
    for odd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300, -1e300] {
        assert!(wire_figures::millis("ms", odd).is_err(), "{odd}");
    }
    assert_eq!(wire_figures::millis("ms", -5.0), Ok(Duration::ZERO));
    assert_eq!(
        wire_figures::millis("ms", 1.5),
        Ok(Duration::from_micros(1_500))
    );
}

/// Guards against a log that an odd report fills, and against one that tells of none.
#[test]
fn of_many_rejections_few_are_logged() {
    let rejections = Rejections::new();
    let logged = (0..1_000_000).filter(|_| rejections.record(Statement::Report));
    let logged = logged.count();
    assert!((16..=40).contains(&logged), "{logged} lines");
    assert_eq!(rejections.count(Statement::Report), 1_000_000);
    assert!(rejections.record(Statement::Server));
}
