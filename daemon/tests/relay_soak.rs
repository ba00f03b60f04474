//! Short soak runs: relays and scouts must keep all guarantees under overlapping faults.

use std::path::Path;
use std::time::Duration;

use cicada_standins::soak;
use cicada_standins::soak::Plan;
use cicada_standins::soak_drains;
use cicada_standins::soak_late_streams;
use eyre::Result;

/// Duration of a soak run, and of one whose faults take longer.
const DURATION: Duration = Duration::from_secs(8);
const LONG_DURATION: Duration = Duration::from_secs(16);

async fn assert_guarantees_hold(plan: Plan) -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let report = soak::run(daemon, plan).await?;
    assert!(!report.faults.is_empty());
    assert!(
        report.broken.is_empty(),
        "{:#?}\n{:#?}",
        report.faults,
        report.broken
    );
    let served: usize = report
        .ends
        .iter()
        .filter(|(end, _)| end.ends_with(" 200"))
        .map(|(_, n)| n)
        .sum();
    assert!(served > 0, "{:?}", report.ends);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_1_keeps_all_guarantees() -> Result<()> {
    assert_guarantees_hold(Plan::new(1, DURATION)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_2_keeps_all_guarantees() -> Result<()> {
    assert_guarantees_hold(Plan::new(2, DURATION)).await
}

/// Guards against relays that are all restarted while the store is away and take over an outdated configuration.
#[tokio::test(flavor = "multi_thread")]
async fn seed_623_keeps_all_guarantees() -> Result<()> {
    assert_guarantees_hold(Plan::new(623, LONG_DURATION)).await
}

/// Guards against answers that were broken off and look complete.
#[tokio::test(flavor = "multi_thread")]
async fn seed_3_keeps_all_guarantees_while_answers_break_off() -> Result<()> {
    assert_guarantees_hold(Plan::new(3, LONG_DURATION).with_breaks()).await
}

/// Guards against requests that are cut because they become complete late in the stops of their relays.
#[tokio::test(flavor = "multi_thread")]
async fn callers_with_slow_heads_are_answered_while_relays_are_stopped_in_turn() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let report = soak_drains::run_stops(daemon, 1, LONG_DURATION).await?;
    assert!(report.broken.is_empty(), "{report:#?}");
    let served = report.ends.get("slow 200").copied().unwrap_or_default();
    assert!(served > 100, "{:?}", report.ends);
    Ok(())
}

/// Guards against streams that are cut because they are taken late in the stops of their relays.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_are_whole_or_refused_while_relays_are_stopped_in_turn() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let report = soak_late_streams::run_late_streams(daemon, 5, LONG_DURATION).await?;
    assert!(report.broken.is_empty(), "{report:#?}");
    let served = report.ends.get("stream 200").copied().unwrap_or_default();
    assert!(served > 20, "{:?}", report.ends);
    Ok(())
}

#[test]
fn a_seed_gives_the_same_schedule() {
    assert_eq!(soak::schedule(7, DURATION), soak::schedule(7, DURATION));
    assert_ne!(soak::schedule(7, DURATION), soak::schedule(8, DURATION));
}
