//! The event gaps that a scout observes at its engine, as its subscribers receive them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use cicada_lib::dialect::Copied;
use cicada_lib::dialect::EngineCalls;
use cicada_lib::dialect::EngineHealth;
use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::EngineRun;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::dialect::ReportError;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::Subscription;
use cicada_relay::Scout;
use eyre::Result;
use testutils::cluster::free_addr;

/// Time between two events of a run: first one, then the other.
const GAPS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(60)];
const CHANGE_AFTER: Duration = Duration::from_millis(1_500);
const OBSERVED_FOR: Duration = Duration::from_millis(3_500);

/// Reports in that time: one at once and a heartbeat every 0.4 s. A report for each poll would be over a hundred.
const MAX_REPORTS: usize = 11;

/// An engine with eight runs, whose memory stays the same so that only the estimate changes.
struct SteadyEngine(Instant);

#[async_trait]
impl EngineCalls for SteadyEngine {
    async fn report(&self, _: SocketAddr) -> Result<EngineReport, ReportError> {
        let age = self.0.elapsed();
        let first = age.min(CHANGE_AFTER).as_secs_f64() / GAPS[0].as_secs_f64();
        let rest = age.saturating_sub(CHANGE_AFTER).as_secs_f64() / GAPS[1].as_secs_f64();
        let run = |number: u32| EngineRun {
            id: Name::new(format!("run-{number}")),
            tokens: 3_000,
            events: (first + rest + f64::from(number) / 8.0) as u64,
            rank: 0,
        };
        Ok(EngineReport {
            running: 8,
            capacity: 100_000,
            born: Some(1),
            runs: (0..8).map(run).collect(),
            ..EngineReport::default()
        })
    }

    async fn health(&self, _: SocketAddr, _: &Name) -> Result<EngineHealth, ReportError> {
        Err(ReportError("not known".to_owned()))
    }

    async fn move_run(
        &self,
        _: SocketAddr,
        _: &Name,
        _: SocketAddr,
        _: MoveStep,
    ) -> Result<Copied, MoveError> {
        Err(MoveError::NoRun)
    }

    async fn drop_copy(&self, _: SocketAddr, _: &Name) {}
}

/// The loads that a subscriber receives in [`OBSERVED_FOR`].
async fn received_loads() -> Result<Vec<EngineLoad>> {
    let scout_address = free_addr()?;
    let engine = EngineLocation {
        address: scout_address,
        service: Name::new("drafts"),
        zone: Name::new("n1"),
    };
    let calls = Arc::new(SteadyEngine(Instant::now()));
    let scout = Scout::bind(scout_address, engine, Vec::new(), calls).await?;
    let task = tokio::spawn(scout.run());
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    let subscription = Datagram::Subscribe(Subscription::default());
    socket
        .send_to(&peer_messages::encode(&subscription)?, scout_address)
        .await?;
    let mut loads = Vec::new();
    let mut buffer = [0; peer_messages::MAX_DATAGRAM];
    let end = tokio::time::Instant::now() + OBSERVED_FOR;
    while let Ok(length) = tokio::time::timeout_at(end, socket.recv(&mut buffer)).await {
        if let Ok(Datagram::Report(report)) = peer_messages::decode(&buffer[..length?]) {
            loads.push(report.load);
        }
    }
    task.abort();
    Ok(loads)
}

/// Guards against reports without the estimate, and against one for each change of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_scout_reports_the_gaps_that_it_observes_with_its_heartbeats() -> Result<()> {
    let loads = received_loads().await?;
    assert!(
        (4..=MAX_REPORTS).contains(&loads.len()),
        "{} reports",
        loads.len()
    );
    let means: Vec<u16> = loads.iter().map(|load| load.gaps.alone.mean_ms).collect();
    assert!(
        means.iter().any(|mean| (24..=37).contains(mean)),
        "{means:?}"
    );
    assert!(means.last().is_some_and(|mean| *mean > 37), "{means:?}");
    Ok(())
}
