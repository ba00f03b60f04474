//! Changes of a relay's settings file while it runs.

use std::path::Path;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use cicada_standins::service::Mode;
use eyre::Result;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// The settings file changes without a signal, first to an invalid one. The invalid file must be logged and change
/// nothing. The valid change that follows must be applied while the process runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_settings_file_is_taken_over() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Failing);
    deployment.set(0, "retry_slack = 32", "retry_slack = many")?;
    let log = |deployment: &Deployment| deployment.relays[0].process.log();
    wait_until("the fault is logged", || {
        log(&deployment).contains("mend the file")
    })
    .await?;
    let ask = Ask::new("GET", "/slots/1", "repeated", KEY);
    ask.send(deployment.relays[0].callers).await?;
    assert_eq!(
        deployment.services[0].0.ran().len(),
        2,
        "the read is repeated once"
    );
    deployment.set(0, "retry_slack = many", "retry_slack = 0\nretry_ratio = 0")?;
    wait_until("the change is applied", || {
        log(&deployment).contains("were read again")
    })
    .await?;
    let ask = Ask::new("GET", "/slots/1", "once", KEY);
    ask.send(deployment.relays[0].callers).await?;
    assert_eq!(
        deployment.services[0].0.ran().len(),
        3,
        "the bound allows no repeat"
    );
    Ok(())
}

/// Guards against settings that were read while their file was being written, and that stay in force because the rest
/// came within the resolution of the file's time.
#[tokio::test(flavor = "multi_thread")]
async fn a_settings_file_that_was_read_half_is_read_again() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    let lines = |deployment: &Deployment| {
        let log = deployment.relays[0].process.log();
        log.matches("the settings were read again").count()
    };
    let file = deployment.relays[0].process.config_file();
    let whole = std::fs::read_to_string(&file)?.replace("retry_slack = 32", "retry_slack = 31");
    let half = whole
        .split_inclusive("retry_slack = 3")
        .next()
        .unwrap_or_default();
    std::fs::write(&file, half)?;
    let written = std::fs::metadata(&file)?.modified()?;
    wait_until("the first half is read", || lines(&deployment) == 1).await?;
    std::fs::write(&file, &whole)?;
    let file = std::fs::File::options().write(true).open(&file)?;
    file.set_modified(written)?;
    wait_until("the whole file is read", || lines(&deployment) == 2).await?;
    Ok(())
}
