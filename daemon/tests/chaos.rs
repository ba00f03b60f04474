//! Short runs of the whole system under a seeded schedule of faults. `cicada-chaos` runs longer ones.

use std::time::Duration;

use eyre::Result;
use testutils::chaos::ChaosSettings;
use testutils::chaos::run;

async fn check(seed: u64) -> Result<()> {
    let settings = ChaosSettings {
        length: Duration::from_secs(8),
        // A bound for a busy machine: the run goes on as soon as everything is well.
        quiet: Duration::from_secs(30),
        ..ChaosSettings::new(seed)
    };
    let verdict = run(&settings, false).await?;
    assert!(!verdict.faults.is_empty() && !verdict.ends.is_empty());
    assert!(verdict.broken.is_empty(), "{verdict:#?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_the_first_schedule() -> Result<()> {
    // Callers' streams and bookings go on while processes die, pause and lose each other.
    // What they are told stays true, and everything is well once the faults are over.
    check(1).await
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_the_second_schedule() -> Result<()> {
    // As the first, with other faults at other times.
    check(2).await
}
