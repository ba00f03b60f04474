//! Changes by the tool `cicada`, followed by real processes and judged by what callers receive.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use cicada_lib::platform::Condition;
use eyre::Result;
use eyre::ensure;
use serde_json::Value;
use testutils::caller::Caller;
use testutils::cluster::Signal;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::deployment::MODEL_SERVICE;
use testutils::deployment::OPERATOR;
use testutils::deployment::OPERATOR_TOKEN;

struct Bench {
    deployment: Deployment,
    dir: PathBuf,
}

struct Done {
    code: i32,
    json: Value,
    err: String,
}

impl Bench {
    // Two engines, a plain service and two entries.
    async fn start(name: &str) -> Result<Self> {
        let settings = DeploymentSettings::new(2, 1, 2);
        let token = settings.platform.token.clone();
        let dir = std::env::temp_dir().join(format!("cicada-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("platform"), token)?;
        std::fs::write(dir.join("operator"), OPERATOR_TOKEN)?;
        let deployment = Deployment::start(settings).await?;
        Ok(Bench { deployment, dir })
    }

    fn run(&self, args: &[&str]) -> Result<Done> {
        let platform = self.deployment.platform.addr().to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_cicada"))
            .current_dir(&self.dir)
            .args(["--platform", &platform, "--platform-token-file", "platform"])
            .args(["--operator", OPERATOR, "--token-file", "operator"])
            .args(["--json", "--status-timeout", "2000"])
            .args(args)
            .output()?;
        Ok(Done {
            code: output.status.code().unwrap_or(-1),
            json: serde_json::from_slice(&output.stdout).unwrap_or_default(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    // What each entry answers to a caller with the key.
    async fn answers(&self, key: &str) -> Result<Vec<u16>> {
        let mut codes = Vec::new();
        for entry in &self.deployment.entries {
            let answer = Caller::new(entry.listen, key)
                .complete("a hymn len=3")
                .await?;
            codes.push(answer.status().as_u16());
        }
        Ok(codes)
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The operator is told "in force on 5 of 5". From then on every entry takes a new key, and after the
/// key is deleted and that is in force as well, every entry refuses it.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_told_to_be_in_force_holds_at_every_entry() -> Result<()> {
    let bench = Bench::start("everywhere").await?;
    let create = "begin; create workspace chapel; create key main workspace chapel; commit";
    let done = bench.run(&["--wait", "20", create])?;
    ensure!(done.code == 0, "{}", done.err);
    assert_eq!(done.json["in_force"]["processes"], 5);
    assert_eq!(done.json["in_force"]["of"], 5);
    let key = done.json["issued"][0]["secret"]
        .as_str()
        .unwrap_or_default();
    assert_eq!(bench.answers(key).await?, [200, 200]);

    let done = bench.run(&["--wait", "20", "delete key main workspace chapel"])?;
    ensure!(done.code == 0, "{}", done.err);
    assert_eq!(bench.answers(key).await?, [401, 401]);

    let why = format!("explain workspace chapel service {MODEL_SERVICE}");
    let rows = bench.run(&[&why])?.json["backend_servers"].clone();
    assert_eq!(
        (&rows[0]["eligible"], &rows[1]["eligible"]),
        (&"yes".into(), &"yes".into())
    );
    Ok(())
}

/// One agent is paused when a change is committed. The operator is told that the change is committed
/// and which process it has not reached; when the agent wakes it follows by itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_process_is_named_and_follows_when_it_wakes() -> Result<()> {
    let mut bench = Bench::start("paused").await?;
    bench.deployment.engines[1]
        .agent
        .process
        .signal(Signal::Stop)?;
    let done = bench.run(&["--wait", "4", "create workspace chapel"])?;
    assert_eq!(done.code, 9, "{}", done.err);
    assert_eq!(done.json["in_force"]["processes"], 4);
    assert_eq!(done.json["in_force"]["missing"][0]["host"], "engine-1");
    bench.deployment.engines[1]
        .agent
        .process
        .signal(Signal::Cont)?;
    for _ in 0..100 {
        let newest = bench.run(&["show versions where standing = newest"])?;
        if newest.json[0]["processes"] == 5 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let versions = bench.run(&["show versions"])?;
    eyre::bail!("the agent never followed: {}", versions.json)
}

/// The store's root is put back to an older one while a key of the newer version is in use. No process
/// goes back: the key works at every entry, and `show versions` tells that all are ahead. A commit above
/// their version is followed.
#[tokio::test(flavor = "multi_thread")]
async fn no_process_follows_a_store_that_went_back() -> Result<()> {
    let bench = Bench::start("restored").await?;
    let platform = bench.deployment.store();
    let older = platform.read("config/root").await?.expect("it is there");
    let create = "begin; create workspace chapel; create key main workspace chapel; commit";
    let done = bench.run(&["--wait", "20", create])?;
    ensure!(done.code == 0, "{}", done.err);
    let key = done.json["issued"][0]["secret"]
        .as_str()
        .unwrap_or_default();

    let newer = platform.read("config/root").await?.expect("it is there");
    let condition = Condition::At(newer.version);
    platform
        .write("config/root", older.value, condition)
        .await?;
    // Watches wake at once; a second is ample for a process to fall for it.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(bench.answers(key).await?, [200, 200]);
    let versions = bench.run(&["show versions where standing = ahead"])?.json;
    assert_eq!(versions[0]["processes"], 5);

    let above = versions[0]["version"].to_string();
    let args = ["--above", &above, "--wait", "20", "create workspace font"];
    let done = bench.run(&args)?;
    ensure!(done.code == 0, "{} {}", done.err, done.json);
    assert_eq!(bench.answers(key).await?, [401, 401]);
    Ok(())
}
