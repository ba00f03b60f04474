//! Randomized model test of commits: interleaves two writers, a reader and the garbage collector. Calls
//! to the store are rejected, lose their request or response, or take effect late, and a writer crashes
//! between steps.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;

use cicada_lib::config::OperatorConfig;
use cicada_lib::config::Rights;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_apply::ConfigState;
use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::config_apply::VersionComparison;
use cicada_lib::config_chunks::ChunkRef;
use cicada_lib::config_chunks::EncodedConfig;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::config_chunks::ROOT_KEY;
use cicada_lib::config_chunks::Root;
use cicada_lib::config_chunks::assemble;
use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::WorkspaceField;
use cicada_lib::config_store::CommitError;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::ids::Name;
use cicada_lib::ids::Version;
use cicada_lib::secrets::Secret;
use cicada_lib::time::Time;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use testutils::memory_platform::Faults;
use testutils::memory_platform::MemoryPlatform;

// Makes two buckets. `change` sets two workspaces in different buckets; the test of garbage collection
// counts their chunks.
const WORKSPACES: usize = 170;

const FAULTS: Faults = Faults {
    refused: 5,
    lost_before: 5,
    lost_after: 8,
    late: 8,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Committed,
    NotCommitted,
    Unknown,
    Pending,
}

#[derive(Debug)]
struct Attempt {
    mark: u32,
    outcome: Outcome,
}

type Attempts = Arc<Mutex<Vec<Attempt>>>;
type Task = Pin<Box<dyn Future<Output = ()>>>;

fn initial_change() -> Change {
    let operator = OperatorConfig {
        token: Secret::new("token").digest(),
        rights: Rights::Full,
    };
    let operator = Edit::Operator(Name::new("ann"), Action::Create(operator));
    let create = |i| {
        let name = Name::new(format!("w{i}"));
        Edit::Workspace(name, Action::Create(WorkspaceConfig::default()))
    };
    let workspaces = (0..WORKSPACES).map(create);
    Change::new([operator].into_iter().chain(workspaces).collect())
}

// Sets the share of two workspaces in different chunks to a value that identifies the attempt.
fn change(mark: u32) -> Change {
    let set = |name: &str| {
        let fields = vec![WorkspaceField::Share(mark)];
        Edit::Workspace(Name::new(name), Action::Set(fields))
    };
    Change::new(vec![set("w0"), set("w2")])
}

fn mark_of(loaded: &LoadedConfig) -> u32 {
    let shares = ["w0", "w2"].map(|name| loaded.config.workspaces[name].share);
    assert_eq!(shares[0], shares[1], "a change was applied partially");
    shares[0]
}

fn outcome_of<T>(result: &Result<T, CommitError>) -> Outcome {
    match result {
        Ok(_) => Outcome::Committed,
        Err(CommitError::Unknown { .. }) => Outcome::Unknown,
        Err(_) => Outcome::NotCommitted,
    }
}

// Bases each commit on its own last one if that may still be the newest, else loads the configuration.
async fn writer(store: ConfigStore, attempts: Attempts) {
    let mut held: Option<LoadedConfig> = None;
    for _ in 0..6 {
        if held.as_ref().is_none_or(|l| l.stored.is_none()) {
            held = store.load().await.ok().flatten();
        }
        let Some(base) = &held else {
            continue;
        };
        let index = {
            let mut attempts = attempts.lock().unwrap();
            let mark = 10 + attempts.len() as u32;
            let outcome = Outcome::Pending;
            attempts.push(Attempt { mark, outcome });
            attempts.len() - 1
        };
        let mark = 10 + index as u32;
        let result = store
            .commit(Some(base), &change(mark), &Name::new("ann"))
            .await;
        attempts.lock().unwrap()[index].outcome = outcome_of(&result);
        held = result.ok().map(|c| c.loaded);
    }
}

async fn reader(store: ConfigStore, state: Arc<Mutex<ConfigState>>) {
    for _ in 0..6 {
        if let Ok(Some(loaded)) = store.load().await {
            mark_of(&loaded);
            let mut state = state.lock().unwrap();
            let before = state.version_id().map(|m| m.version);
            state.apply_if_newer(loaded, Time::ZERO);
            assert!(
                state.version_id().map(|m| m.version) >= before,
                "the version decreased"
            );
        }
    }
}

// Its clock is far ahead, so that retired chunks are deleted at once: the worst case for readers.
async fn collector(store: ConfigStore) {
    for _ in 0..2 {
        let _ = store.collect(u64::MAX / 2).await;
    }
}

fn poll(task: &mut Task) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    task.as_mut().poll(&mut context).is_ready()
}

fn finish<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    let mut context = Context::from_waker(Waker::noop());
    let mut future = Box::pin(future);
    for _ in 0..1_000_000 {
        if let std::task::Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return value;
        }
    }
    panic!("the future did not complete");
}

fn run_interleaving(seed: u64) -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    let platform = Arc::new(MemoryPlatform::with_faults(seed, Faults::default()));
    let store = ConfigStore::new(platform.clone()).with_tries(4, Duration::ZERO);
    let setup = store.clone();
    finish(async move {
        setup
            .commit(None, &initial_change(), &Name::new("ann"))
            .await
            .unwrap()
    });
    platform.set_faults(FAULTS);

    let attempts = Attempts::default();
    let state = Arc::new(Mutex::new(ConfigState::new()));
    let writer = || -> Task { Box::pin(writer(store.clone(), attempts.clone())) };
    let mut tasks: Vec<Task> = vec![
        writer(),
        writer(),
        Box::pin(reader(store.clone(), state.clone())),
        Box::pin(collector(store.clone())),
    ];
    let mut crashes = 2;
    while !tasks.is_empty() {
        let i = rng.usize(0..tasks.len());
        if poll(&mut tasks[i]) {
            drop(tasks.remove(i));
        } else if i == 0 && crashes > 0 && rng.u32(0..60) == 0 {
            // Simulates a crash: a new writer starts from the state of the store.
            crashes -= 1;
            tasks[0] = writer();
        }
    }
    platform.set_faults(Faults::default());
    platform.settle();
    check_outcome(&platform, &store, &attempts.lock().unwrap(), &state)
}

// Returns the mark of a version, assembled from its chunks as first written.
fn replay(platform: &MemoryPlatform, root: &Root) -> u32 {
    let chunk = |c: &ChunkRef| (c.digest, platform.values(&c.key())[0].clone());
    let parts = EncodedConfig {
        root: root.encode().unwrap(),
        chunks: root.chunks.iter().map(chunk).collect(),
    };
    mark_of(&assemble(&parts, None).unwrap())
}

fn check_outcome(
    platform: &MemoryPlatform,
    store: &ConfigStore,
    attempts: &[Attempt],
    state: &Mutex<ConfigState>,
) -> bool {
    let roots = platform.values(ROOT_KEY);
    let roots: Vec<Root> = roots.iter().map(|b| Root::decode(b).unwrap()).collect();
    let versions: Vec<u64> = roots.iter().map(|r| r.version.0).collect();
    assert_eq!(roots[0].chunks.len(), 2);
    let expected: Vec<u64> = (1..=roots.len() as u64).collect();
    assert_eq!(versions, expected, "versions have gaps or decrease");

    let writers: BTreeSet<_> = roots.iter().map(|r| r.last().writer).collect();
    assert_eq!(writers.len(), roots.len(), "a commit took effect twice");

    let marks: Vec<u32> = roots.iter().skip(1).map(|r| replay(platform, r)).collect();
    let count = |mark| marks.iter().filter(|m| **m == mark).count();
    for attempt in attempts {
        let found = count(attempt.mark);
        let matches_outcome = match attempt.outcome {
            Outcome::Committed => found == 1,
            Outcome::NotCommitted => found == 0,
            Outcome::Unknown | Outcome::Pending => found <= 1,
        };
        assert!(matches_outcome, "{attempt:?} took effect {found} times");
    }

    // The garbage collector must not have deleted chunks of the newest root.
    let reading = store.clone();
    let last = finish(async move { reading.load().await.unwrap().unwrap() });
    assert_eq!(last.version.0, roots.len() as u64);
    let mark = ConfigVersionId {
        version: last.version,
        digest: last.digest,
    };
    assert_ne!(
        state.lock().unwrap().compare(mark),
        VersionComparison::Conflicting
    );
    true
}

/// Guards against commits whose reported outcome ("committed", "not committed" or "unknown") is wrong,
/// which are applied partially or twice, or which overwrite another commit, and against readers that
/// move to an older version. Such faults come about by conflicts, crashes, lost responses and garbage
/// collection during a commit.
#[test]
fn commits_are_atomic_and_reported_correctly_in_any_interleaving() {
    // A fixed seed makes the test deterministic.
    let seeds = Gen::from_size_and_seed(100, 7);
    let mut check = QuickCheck::new().rng(seeds).tests(800);
    check.quickcheck(run_interleaving as fn(u64) -> bool);
}

/// Guards against a load that fails because, after it has read the root, a newer version is committed
/// and a chunk that only the old root references is garbage collected. The reader must read the root
/// again and load the newer version.
#[test]
fn reader_of_collected_chunks_loads_newer_version() {
    let platform = Arc::new(MemoryPlatform::with_faults(1, Faults::default()));
    let store = ConfigStore::new(platform.clone()).with_tries(4, Duration::ZERO);
    let setup = store.clone();
    let author = Name::new("ann");
    finish(async move {
        let first = setup
            .commit(None, &initial_change(), &author)
            .await
            .unwrap()
            .loaded;
        let reading = setup.clone();
        let mut reader = Box::pin(async move { reading.load().await });
        let mut context = Context::from_waker(Waker::noop());
        // After three polls the root has been read, and the reads of chunks are pending.
        for _ in 0..3 {
            assert!(reader.as_mut().poll(&mut context).is_pending());
        }
        setup
            .commit(Some(&first), &change(5), &author)
            .await
            .unwrap();
        assert_eq!(setup.collect(u64::MAX / 2).await.unwrap(), 2);
        let read = reader.await.unwrap().unwrap();
        assert_eq!((read.version, mark_of(&read)), (Version(2), 5));
        assert_eq!(platform.objects().len(), 3);
    });
}

/// Guards against reverting the configuration after the store was restored from a backup. A root that
/// is older, or has the same number but other content, must be rejected and counted; a newer one must
/// still be applied.
#[test]
fn older_root_is_rejected_and_counted() {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone());
    let author = Name::new("ann");
    finish(async move {
        let first = store
            .commit(None, &initial_change(), &author)
            .await
            .unwrap()
            .loaded;
        let backup = platform.objects();
        let second = store
            .commit(Some(&first), &change(5), &author)
            .await
            .unwrap();
        let mut state = ConfigState::new();
        assert_eq!(
            state.apply_if_newer(second.loaded.clone(), Time::ZERO),
            VersionComparison::Newer
        );
        assert_eq!(
            state.apply_if_newer(second.loaded, Time::ZERO),
            VersionComparison::Same
        );

        platform.restore(backup);
        let old = store.load().await.unwrap().unwrap();
        assert_eq!(
            state.apply_if_newer(old.clone(), Time::ZERO),
            VersionComparison::Older
        );
        let other = store.commit(Some(&old), &change(6), &author).await.unwrap();
        let comparison = state.apply_if_newer(other.loaded.clone(), Time::ZERO);
        assert_eq!(comparison, VersionComparison::Conflicting);
        assert_eq!(mark_of(state.current().unwrap()), 5);

        let third = store
            .commit(Some(&other.loaded), &change(7), &author)
            .await
            .unwrap();
        assert_eq!(
            state.apply_if_newer(third.loaded, Time::ZERO),
            VersionComparison::Newer
        );
        assert_eq!(state.version_id().map(|m| m.version), Some(Version(3)));
        let counts = state.counts();
        assert_eq!(
            (counts.applied, counts.older, counts.conflicting),
            (2, 1, 1)
        );
    });
}
