//! Calls, bytes and time that the configuration costs, at three sizes and with several ways of cutting
//! it. The figures of docs/design/configuration.md come from it:
//!
//! `cargo run --release --locked -p cicada-lib --example config_trial`

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::config::Config;
use cicada_lib::config::KeyConfig;
use cicada_lib::config::OperatorConfig;
use cicada_lib::config::Rights;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_chunks::EncodedConfig;
use cicada_lib::config_chunks::assemble;
use cicada_lib::config_chunks::split_into;
use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::WorkspaceField;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::ids::Name;
use cicada_lib::secrets::Secret;
use testutils::memory_platform::MemoryPlatform;

const PROCESSES: usize = 1_370;
const ZONES: usize = 10;
const WATCHERS: usize = 2;

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().expect("a runtime starts");
    runtime.block_on(run());
}

async fn run() {
    println!("| workspaces | step | calls | read B | written B |");
    println!("| --- | --- | --- | --- | --- |");
    for workspaces in [100, 1_000, 5_100] {
        costs(workspaces).await;
    }
    println!(
        "\n| buckets | largest chunk B | root + chunk of one change B | calls of a first load |"
    );
    println!("| --- | --- | --- | --- |");
    for buckets in [1, 16, 32, 64, 128, 256, 1_024] {
        cuts(buckets);
    }
    times().await;
    println!("\n| spread | processes that ask the store | calls for a change | read B |");
    println!("| --- | --- | --- | --- |");
    spread("every process watches", PROCESSES).await;
    spread("watchers of each zone", ZONES * WATCHERS).await;
}

fn change(workspaces: usize) -> Change {
    let operator = OperatorConfig {
        token: Secret::new("token").digest(),
        rights: Rights::Full,
    };
    let models = (0..23).map(|i| Name::new(format!("model-{i}")));
    let service = ServiceConfig::with_models(models);
    let mut edits = vec![
        Edit::Operator(Name::new("ann"), Action::Create(operator)),
        Edit::Service(Name::new("drafts"), Action::Create(service)),
    ];
    for i in 0..workspaces {
        let name = Name::new(format!("workspace-{i:05}"));
        let workspace = WorkspaceConfig {
            share: 100,
            rate: 50,
            burst: 100,
            max_caller: 20,
            services: [Name::new("drafts")].into(),
            ..WorkspaceConfig::default()
        };
        let digest = Secret::new(&format!("key {i}")).digest();
        let key = KeyConfig {
            workspace: name.clone(),
            label: Name::new("main"),
        };
        edits.push(Edit::Workspace(name, Action::Create(workspace)));
        edits.push(Edit::Key(digest, Action::Create(key)));
    }
    Change::new(edits)
}

fn small(share: u32) -> Change {
    let fields = vec![WorkspaceField::Share(share)];
    let name = Name::new("workspace-00042");
    Change::new(vec![Edit::Workspace(name, Action::Set(fields))])
}

fn report(workspaces: usize, step: &str, platform: &MemoryPlatform) {
    let usage = platform.take_usage();
    let calls = usage.reads + usage.writes;
    let (read, written) = (usage.bytes_read, usage.bytes_written);
    println!("| {workspaces} | {step} | {calls} | {read} | {written} |");
}

async fn costs(workspaces: usize) {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone());
    let ann = Name::new("ann");
    let first = store.commit(None, &change(workspaces), &ann).await;
    let mut held = first.expect("a valid change").loaded;
    report(workspaces, "first commit", &platform);
    for i in 0..16 {
        let next = store.commit(Some(&held), &small(i + 2), &ann).await;
        held = next.expect("a valid change").loaded;
    }
    platform.take_usage();
    let next = store.commit(Some(&held), &small(99), &ann).await;
    next.expect("a valid change");
    report(
        workspaces,
        "change of one workspace, history full",
        &platform,
    );
    store.load().await.expect("it is there");
    report(workspaces, "load from nothing", &platform);
    store.load_after(&held.parts).await.expect("it is there");
    report(workspaces, "load from the version before", &platform);
}

fn config(workspaces: usize) -> Config {
    let config = change(workspaces).apply(&Config::default());
    config.expect("a valid change")
}

// The root has 34 B for a chunk, and about 1,700 B of history when that is full.
fn cuts(buckets: usize) {
    let config = config(5_100);
    let chunks = match split_into(&config, buckets) {
        Ok(chunks) => chunks,
        Err(error) => return println!("| {buckets} | {error} | | |"),
    };
    let largest = chunks.iter().map(|c| c.bytes.len()).max().unwrap_or(0);
    let count = chunks.len();
    let change = largest + 34 * count + 1_700;
    println!("| {buckets} | {largest} | {change} | {} |", count + 1);
}

async fn times() {
    let store = ConfigStore::new(Arc::new(MemoryPlatform::new()));
    let ann = Name::new("ann");
    let first = store.commit(None, &change(5_100), &ann).await;
    let base = first.expect("a valid change").loaded;
    let rounds = 50;
    let start = Instant::now();
    for _ in 0..rounds {
        store
            .plan(Some(&base), &small(7), &ann)
            .expect("a valid change");
    }
    let plan = start.elapsed() / rounds;
    let start = Instant::now();
    for _ in 0..rounds {
        assemble(&base.parts, None).expect("whole parts");
    }
    let whole = start.elapsed() / rounds;
    println!(
        "\nat 5,100 workspaces: working out a change {plan:?}, verifying and applying {whole:?}"
    );
    let before = resident();
    let held: Vec<_> = (0..10).map(|_| assemble(&base.parts, None)).collect();
    let each = (resident() - before) / held.len() as u64;
    println!("memory of one version beside its chunks: {each} kB");
}

// Resident memory of this process in kB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

// One change at 5,100 workspaces, followed by `watchers` processes over the store; the others pull the
// same root and chunk from a peer.
async fn spread(way: &str, watchers: usize) {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone());
    let ann = Name::new("ann");
    let first = store.commit(None, &change(5_100), &ann).await;
    let base = first.expect("a valid change").loaded;
    platform.take_usage();
    let next = store.commit(Some(&base), &small(7), &ann).await;
    let next = next.expect("a valid change").loaded;
    platform.take_usage();
    let stored = base.stored.expect("it came from the store");
    for _ in 0..watchers {
        let found = store.watch_root(stored, Duration::ZERO).await;
        let found = found.expect("it works").expect("it is newer");
        store
            .load_from_root(&found, &base.parts)
            .await
            .expect("whole parts");
    }
    let usage = platform.take_usage();
    // Each asks again at once, with a watch that waits.
    let calls = usage.reads + watchers as u64;
    println!("| {way} | {watchers} | {calls} | {} |", usage.bytes_read);
    let pulled = pulled(&base.parts, &next.parts);
    println!("| (each of the others pulls {pulled} B from a peer) | | | |");
}

fn pulled(held: &EncodedConfig, next: &EncodedConfig) -> usize {
    let new = next
        .chunks
        .iter()
        .filter(|(d, _)| !held.chunks.contains_key(*d));
    next.root.len() + new.map(|(_, b)| b.len()).sum::<usize>()
}
