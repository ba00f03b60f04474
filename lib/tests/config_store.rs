//! The configuration in the store: commits, races, lost answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::config::Config;
use cicada_lib::config::KeyConfig;
use cicada_lib::config::OperatorConfig;
use cicada_lib::config::Rights;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_chunks::Loaded;
use cicada_lib::config_chunks::Parts;
use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::WorkspaceField;
use cicada_lib::config_store::CommitError;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::ids::Name;
use cicada_lib::platform::MAX_VALUE;
use cicada_lib::secrets::Secret;
use testutils::memory_platform::Faults;
use testutils::memory_platform::MemoryPlatform;

fn author() -> Name {
    Name::new("ann")
}

fn first(workspaces: usize) -> Change {
    let token = Secret::new("ann's token").digest();
    let operator = OperatorConfig {
        token,
        rights: Rights::Full,
    };
    let service = ServiceConfig::with_models([Name::new("hymns")]);
    let mut edits = vec![
        Edit::Operator(author(), Action::Create(operator)),
        Edit::Service(Name::new("drafts"), Action::Create(service)),
    ];
    for i in 0..workspaces {
        let name = Name::new(format!("workspace-{i}"));
        let key = KeyConfig {
            workspace: name.clone(),
            label: Name::new("main"),
        };
        let digest = Secret::new(&format!("key {i}")).digest();
        edits.push(Edit::Workspace(
            name,
            Action::Create(WorkspaceConfig::default()),
        ));
        edits.push(Edit::Key(digest, Action::Create(key)));
    }
    Change::new(edits)
}

fn share(workspace: &str, share: u32) -> Change {
    let fields = vec![WorkspaceField::Share(share)];
    Change::new(vec![Edit::Workspace(
        Name::new(workspace),
        Action::Set(fields),
    )])
}

async fn loaded(store: &ConfigStore) -> Loaded {
    store.load().await.unwrap().unwrap()
}

fn share_of(config: &Config, workspace: &str) -> u32 {
    config.workspaces[workspace].share
}

#[tokio::test]
async fn a_commit_is_read_back_whole() {
    let store = ConfigStore::new(Arc::new(MemoryPlatform::new()));
    assert!(store.load().await.unwrap().is_none());
    let made = store.commit(None, &first(3), &author()).await.unwrap();
    let read = loaded(&store).await;
    assert_eq!(read.digest, made.loaded.digest);
    assert_eq!(read.config, made.loaded.config);
    assert_eq!(
        read.config.workspace_of(&Secret::new("key 2")),
        Some(&Name::new("workspace-2"))
    );
    assert_eq!(read.config.workspace_of(&Secret::new("key 3")), None);

    let next = share("workspace-1", 5);
    let made = store.commit(Some(&read), &next, &author()).await.unwrap();
    let read = loaded(&store).await;
    assert_eq!(read.version.0, 2);
    assert_eq!(read.digest, made.loaded.digest);
    assert_eq!(share_of(&read.config, "workspace-1"), 5);
}

/// At the target size no object may come near the store's limit, and a change of one workspace must
/// not rewrite the others: with 3,400 changes a day that would use up every process's bytes.
#[tokio::test]
async fn a_small_change_of_a_large_configuration_writes_little() {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone());
    let made = store.commit(None, &first(5_100), &author()).await.unwrap();
    let largest = platform.objects().values().map(|o| o.value.len()).max();
    assert!(largest.unwrap() < MAX_VALUE / 20);

    let change = share("workspace-77", 9);
    let next = store
        .commit(Some(&made.loaded), &change, &author())
        .await
        .unwrap();
    assert_eq!(next.chunks, 1);
    assert!(next.bytes < 20_000, "{} bytes", next.bytes);

    platform.take_usage();
    let read = store.load_after(&made.loaded.parts).await.unwrap().unwrap();
    assert_eq!(read.digest, next.loaded.digest);
    assert_eq!(platform.take_usage().reads, 2);
}

/// Two operators change the same version. The second is told who was first and that nothing of its
/// change took effect; given again on the new version, the change keeps what the winner set.
#[tokio::test]
async fn the_loser_of_a_race_learns_who_won_and_reapplies() {
    let store = ConfigStore::new(Arc::new(MemoryPlatform::new()));
    let base = store
        .commit(None, &first(2), &author())
        .await
        .unwrap()
        .loaded;
    let bob = Name::new("bob");
    store
        .commit(Some(&base), &share("workspace-0", 7), &bob)
        .await
        .unwrap();

    let change = Change::new(vec![Edit::Workspace(
        Name::new("workspace-0"),
        Action::Set(vec![WorkspaceField::MaxQueued(3)]),
    )]);
    let lost = store
        .commit(Some(&base), &change, &author())
        .await
        .unwrap_err();
    let CommitError::LostRace { won } = lost else {
        panic!("{lost}");
    };
    assert_eq!((won.version.0, &won.author), (2, &bob));

    let again = loaded(&store).await;
    store
        .commit(Some(&again), &change, &author())
        .await
        .unwrap();
    let workspace = loaded(&store).await.config.workspaces["workspace-0"].clone();
    assert_eq!((workspace.share, workspace.max_queued), (7, 3));
}

/// A change with several faults names all of them at once, and writes nothing.
#[tokio::test]
async fn an_invalid_change_writes_nothing() {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone());
    let base = store
        .commit(None, &first(1), &author())
        .await
        .unwrap()
        .loaded;
    let before = platform.objects();
    let change = Change::new(vec![
        Edit::Operator(author(), Action::Delete),
        Edit::Service(Name::new("drafts"), Action::Delete),
        Edit::Workspace(
            Name::new("workspace-0"),
            Action::Set(vec![
                WorkspaceField::Share(0),
                WorkspaceField::Services([Name::new("drafts")].into()),
            ]),
        ),
    ]);
    let error = store
        .commit(Some(&base), &change, &author())
        .await
        .unwrap_err();
    let CommitError::Invalid(faults) = error else {
        panic!("{error}");
    };
    let fields: Vec<_> = faults.iter().map(|f| f.field).collect();
    assert_eq!(fields, ["share", "services", "operators"]);
    assert_eq!(platform.objects(), before);
}

/// The store is down: the operator is told that nothing changed, and nothing has.
#[tokio::test]
async fn an_outage_before_the_root_changes_nothing() {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone()).with_tries(2, Duration::ZERO);
    let base = store
        .commit(None, &first(1), &author())
        .await
        .unwrap()
        .loaded;
    let before: BTreeMap<_, _> = platform.objects();
    platform.set_down(true);
    let change = share("workspace-0", 2);
    let error = store
        .commit(Some(&base), &change, &author())
        .await
        .unwrap_err();
    assert!(matches!(error, CommitError::NotCommitted(_)), "{error}");
    assert_eq!(platform.objects(), before);
}

/// A store refuses half of all reads, as when every process starts at once. Each try gets further,
/// so that the process has its configuration after some of them.
#[tokio::test]
async fn a_load_goes_on_from_what_an_earlier_try_read() {
    let platform = Arc::new(MemoryPlatform::with_faults(7, Faults::default()));
    let store = ConfigStore::new(platform.clone());
    store.commit(None, &first(2_000), &author()).await.unwrap();
    platform.set_faults(Faults {
        refused: 50,
        ..Faults::default()
    });
    let mut parts = Parts::default();
    for _ in 0..50 {
        if let Ok(Some(loaded)) = store.load_into(&mut parts).await {
            assert_eq!(loaded.config.workspaces.len(), 2_000);
            return;
        }
    }
    panic!("50 tries did not bring a whole configuration");
}
