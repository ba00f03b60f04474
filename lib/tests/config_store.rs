//! Tests of committing and loading the configuration: conflicts, invalid changes and failures of the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::config::Config;
use cicada_lib::config::KeyConfig;
use cicada_lib::config::OperatorConfig;
use cicada_lib::config::Rights;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_chunks::EncodedConfig;
use cicada_lib::config_chunks::LoadedConfig;
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

fn initial_change(workspaces: usize) -> Change {
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

fn set_share(workspace: &str, share: u32) -> Change {
    let fields = vec![WorkspaceField::Share(share)];
    Change::new(vec![Edit::Workspace(
        Name::new(workspace),
        Action::Set(fields),
    )])
}

async fn loaded(store: &ConfigStore) -> LoadedConfig {
    store.load().await.unwrap().unwrap()
}

fn share_of(config: &Config, workspace: &str) -> u32 {
    config.workspaces[workspace].share
}

#[tokio::test]
async fn committed_configuration_is_loaded() {
    let store = ConfigStore::new(Arc::new(MemoryPlatform::new()));
    assert!(store.load().await.unwrap().is_none());
    let made = store
        .commit(None, &initial_change(3), &author())
        .await
        .unwrap();
    let read = loaded(&store).await;
    assert_eq!(read.digest, made.loaded.digest);
    assert_eq!(read.config, made.loaded.config);
    assert_eq!(
        read.config.workspace_of(&Secret::new("key 2")),
        Some(&Name::new("workspace-2"))
    );
    assert_eq!(read.config.workspace_of(&Secret::new("key 3")), None);

    let next = set_share("workspace-1", 5);
    let made = store.commit(Some(&read), &next, &author()).await.unwrap();
    let read = loaded(&store).await;
    assert_eq!(read.version.0, 2);
    assert_eq!(read.digest, made.loaded.digest);
    assert_eq!(share_of(&read.config, "workspace-1"), 5);
}

/// Guards against rewriting most chunks for a change of one workspace: with 3,400 changes a day that
/// would exhaust the transfer budget of every process. Also, at the target size all objects must stay
/// far below the size limit of the store.
#[tokio::test]
async fn small_change_of_large_configuration_writes_one_chunk() {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone());
    let made = store
        .commit(None, &initial_change(5_100), &author())
        .await
        .unwrap();
    let largest = platform.objects().values().map(|o| o.value.len()).max();
    assert!(largest.unwrap() < MAX_VALUE / 20);

    let change = set_share("workspace-77", 9);
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

/// Guards against lost updates when two operators change the same version. The second commit must fail,
/// with the winning commit in the error; reapplied to the new version, its change must preserve the
/// fields that the winner set.
#[tokio::test]
async fn conflicting_commit_reports_winner_and_can_be_reapplied() {
    let store = ConfigStore::new(Arc::new(MemoryPlatform::new()));
    let base = store
        .commit(None, &initial_change(2), &author())
        .await
        .unwrap()
        .loaded;
    let bob = Name::new("bob");
    store
        .commit(Some(&base), &set_share("workspace-0", 7), &bob)
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

/// An invalid change must report all of its faults and write nothing.
#[tokio::test]
async fn invalid_change_writes_nothing() {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone());
    let base = store
        .commit(None, &initial_change(1), &author())
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

/// If the store is down, the commit must fail as not committed and change nothing.
#[tokio::test]
async fn outage_before_root_write_changes_nothing() {
    let platform = Arc::new(MemoryPlatform::new());
    let store = ConfigStore::new(platform.clone()).with_tries(2, Duration::ZERO);
    let base = store
        .commit(None, &initial_change(1), &author())
        .await
        .unwrap()
        .loaded;
    let before: BTreeMap<_, _> = platform.objects();
    platform.set_down(true);
    let change = set_share("workspace-0", 2);
    let error = store
        .commit(Some(&base), &change, &author())
        .await
        .unwrap_err();
    assert!(matches!(error, CommitError::NotCommitted(_)), "{error}");
    assert_eq!(platform.objects(), before);
}

/// Guards against loads that never complete while the store rejects half of all reads, as when every
/// process starts at once. Each attempt must keep the chunks that earlier ones have read.
#[tokio::test]
async fn load_resumes_with_chunks_of_earlier_attempts() {
    let platform = Arc::new(MemoryPlatform::with_faults(7, Faults::default()));
    let store = ConfigStore::new(platform.clone());
    store
        .commit(None, &initial_change(2_000), &author())
        .await
        .unwrap();
    platform.set_faults(Faults {
        refused: 50,
        ..Faults::default()
    });
    let mut parts = EncodedConfig::default();
    for _ in 0..50 {
        if let Ok(Some(loaded)) = store.load_into(&mut parts).await {
            assert_eq!(loaded.config.workspaces.len(), 2_000);
            return;
        }
    }
    panic!("50 attempts did not load the configuration");
}
