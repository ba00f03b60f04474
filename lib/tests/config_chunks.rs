//! Tests of decoding: damaged, missing and arbitrary chunks and roots from the store and from peers.

use std::sync::Arc;

use bytes::Bytes;
use cicada_lib::config::OperatorConfig;
use cicada_lib::config::Rights;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_chunks::ChunkError;
use cicada_lib::config_chunks::ChunkRef;
use cicada_lib::config_chunks::EncodedConfig;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::config_chunks::Root;
use cicada_lib::config_chunks::assemble;
use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_store::ConfigError;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::ids::Name;
use cicada_lib::platform::Condition;
use cicada_lib::platform::Platform;
use cicada_lib::secrets::Secret;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use testutils::memory_platform::MemoryPlatform;

fn initial_change() -> Change {
    let operator = OperatorConfig {
        token: Secret::new("token").digest(),
        rights: Rights::Full,
    };
    let mut edits = vec![Edit::Operator(Name::new("ann"), Action::Create(operator))];
    for i in 0..400 {
        let name = Name::new(format!("w{i}"));
        edits.push(Edit::Workspace(
            name,
            Action::Create(WorkspaceConfig::default()),
        ));
    }
    Change::new(edits)
}

async fn commit_initial(platform: &Arc<MemoryPlatform>) -> LoadedConfig {
    let store = ConfigStore::new(platform.clone());
    let made = store
        .commit(None, &initial_change(), &Name::new("ann"))
        .await;
    made.unwrap().loaded
}

fn loaded() -> LoadedConfig {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.build().unwrap();
    runtime.block_on(commit_initial(&Arc::new(MemoryPlatform::new())))
}

/// Guards against accepting corrupted data from a peer or the store: a root or chunk with a flipped or
/// missing byte must not assemble to the expected version, and must not cause a panic.
#[test]
fn damaged_root_or_chunk_is_rejected() {
    let whole = loaded();
    let keys: Vec<_> = whole.parts.chunks.keys().copied().collect();
    let damaged = move |part: usize, at: usize, mask: u8, cut: bool| {
        let mut parts = EncodedConfig::clone(&whole.parts);
        let key = keys[part % keys.len()];
        let in_root = part.is_multiple_of(3);
        let bytes = match in_root {
            true => &mut parts.root,
            false => parts.chunks.get_mut(&key).unwrap(),
        };
        let mut copy = bytes.to_vec();
        let at = at % copy.len();
        copy[at] ^= mask.max(1);
        if cut {
            copy.truncate(at);
        }
        *bytes = Bytes::from(copy);
        match assemble(&parts, None) {
            Ok(loaded) => in_root && loaded.digest != whole.digest,
            Err(_) => true,
        }
    };
    let damaged = Arc::new(damaged);
    for seed in 0..3_000_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (part, at) = (rng.usize(..), rng.usize(..));
        assert!(damaged(part, at, rng.u8(..), rng.bool()), "seed {seed}");
    }
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    fn is_rejected(bytes: Vec<u8>) -> bool {
        // Without a valid format version as the first byte, few inputs would pass the first check.
        let with_format: Vec<u8> = [1].into_iter().chain(bytes.iter().copied()).collect();
        let parts = EncodedConfig {
            root: Bytes::from(with_format),
            ..EncodedConfig::default()
        };
        Root::decode(&bytes).is_err() | assemble(&parts, None).is_err()
    }
    let seeds = Gen::from_size_and_seed(300, 3);
    let mut check = QuickCheck::new().rng(seeds).tests(3_000);
    check.quickcheck(is_rejected as fn(Vec<u8>) -> bool);
}

/// Guards against accepting a corrupted chunk in the store: the load must fail with a digest error. A
/// process that already has the chunk is not affected.
#[tokio::test]
async fn damaged_chunk_in_store_is_detected() {
    let platform = Arc::new(MemoryPlatform::new());
    let whole = commit_initial(&platform).await;
    let store = ConfigStore::new(platform.clone());
    let chunk_ref = whole.root.chunks[0].clone();
    let mut objects = platform.objects();
    objects.get_mut(&chunk_ref.key()).unwrap().value = Bytes::from_static(b"other");
    platform.restore(objects);
    let error = store.load().await.unwrap_err();
    assert_eq!(
        error,
        ConfigError::Chunk(ChunkError::Digest(chunk_ref.digest))
    );
    assert_eq!(store.chunk(&chunk_ref).await.unwrap_err(), error);
    assert!(store.load_after(&whole.parts).await.is_ok());
}

/// Guards against decoding a root of a later format version, whose fields may have other meanings.
#[test]
fn later_format_version_is_rejected() {
    let root = Root {
        format: 9,
        ..Root::clone(&loaded().root)
    };
    let bytes = root.encode().unwrap();
    assert_eq!(Root::decode(&bytes), Err(ChunkError::Format(9)));
}

/// Lost races and crashes may leave more garbage than one list call returns. All of it must be deleted,
/// but no chunk that is in use or that belongs to a later version.
#[tokio::test]
async fn garbage_of_several_list_pages_is_collected() {
    let platform = Arc::new(MemoryPlatform::new());
    let whole = commit_initial(&platform).await;
    let chunk_ref = |i: u64, since: u64| {
        let digest = format!("config/chunk/{since:016x}-{i:064x}");
        ChunkRef::from_key(&digest).unwrap()
    };
    for i in 0..1_200 {
        for since in [1, 2] {
            let key = chunk_ref(i, since).key();
            let value = Bytes::from_static(b"garbage");
            platform
                .write(&key, value, Condition::Absent)
                .await
                .unwrap();
        }
    }
    let store = ConfigStore::new(platform.clone());
    assert_eq!(store.collect(0).await.unwrap(), 1_200);
    assert_eq!(
        platform.objects().len(),
        1 + whole.root.chunks.len() + 1_200
    );
    assert_eq!(store.load().await.unwrap().unwrap().digest, whole.digest);
}
