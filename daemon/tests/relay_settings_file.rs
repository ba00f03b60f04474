//! Changes of a relay's settings file while it runs.

use std::path::Path;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use cicada_standins::service::Mode;
use eyre::Result;
use serde_json::Value;
use serde_json::json;
use testutils::cluster::Signal;

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

fn allow_long_calls(config: &mut Value) {
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeoutMs"] = json!(20_000);
    }
}

/// Guards against requests that a change of the settings or the configuration cuts, also one that comes twice.
#[tokio::test(flavor = "multi_thread")]
async fn changes_cut_no_open_request() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 1).await?;
    deployment.services[0].0.set_mode(Mode::Slow(5_000));
    deployment.reconfigure(allow_long_calls);
    let log = |deployment: &Deployment| deployment.relays[0].process.log();
    wait_until("the calls may take long", || {
        log(&deployment).contains("version=2")
    })
    .await?;
    let relay = deployment.relays[0].callers;
    let asks = [
        Ask::stream("stream", KEY, 200, 400),
        Ask::new("POST", "/deposits/1", "deposit", KEY),
        Ask::new("GET", "/slots/1", "slot", KEY),
    ];
    let open = asks.map(|ask| tokio::spawn(async move { ask.send(relay).await }));
    wait_until("all run", || {
        let calls = deployment.services[0].0.arrivals().len();
        calls == 2 && deployment.engines[0].engine.running() == 1
    })
    .await?;
    for (change, (from, to)) in [("32", "31"), ("31", "32")].into_iter().enumerate() {
        let line = |value: &str| format!("retry_slack = {value}");
        deployment.set(0, &line(from), &line(to))?;
        deployment.relays[0].process.signal(Signal::Hangup)?;
        deployment.reconfigure(|_| ());
        let version = format!("version={}", change + 3);
        wait_until("the changes are applied", || {
            let log = log(&deployment);
            let settings = log.matches("the settings were read again").count();
            settings > change && log.contains(&version)
        })
        .await?;
    }
    assert!(open.iter().all(|request| !request.is_finished()));
    for heard in open {
        let heard = heard.await??;
        let log = deployment.relays[0].process.log();
        assert!(heard.whole_success(), "{heard:?}: {log}");
    }
    Ok(())
}
