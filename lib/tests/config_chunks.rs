//! Chunks and roots as they come from the store and from peers: damaged, missing, or made up.

use std::sync::Arc;

use bytes::Bytes;
use cicada_lib::config::OperatorConfig;
use cicada_lib::config::Rights;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_chunks::ChunkError;
use cicada_lib::config_chunks::ChunkRef;
use cicada_lib::config_chunks::Loaded;
use cicada_lib::config_chunks::Parts;
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

fn change() -> Change {
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

async fn committed(platform: &Arc<MemoryPlatform>) -> Loaded {
    let store = ConfigStore::new(platform.clone());
    let made = store.commit(None, &change(), &Name::new("ann")).await;
    made.unwrap().loaded
}

fn loaded() -> Loaded {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.build().unwrap();
    runtime.block_on(committed(&Arc::new(MemoryPlatform::new())))
}

/// A peer or the store hands out bytes that were damaged on the way. The receiver never takes them for
/// the version that it asked for, whichever bytes they are, and never falls over them.
#[test]
fn damaged_parts_are_refused() {
    let whole = loaded();
    let keys: Vec<_> = whole.parts.chunks.keys().copied().collect();
    let damaged = move |part: usize, at: usize, mask: u8, cut: bool| {
        let mut parts = Parts::clone(&whole.parts);
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
fn no_bytes_panic() {
    fn decodes_or_not(bytes: Vec<u8>) -> bool {
        // The format comes first; without it few bytes would come past the first check.
        let framed: Vec<u8> = [1].into_iter().chain(bytes.iter().copied()).collect();
        let parts = Parts {
            root: Bytes::from(framed),
            ..Parts::default()
        };
        Root::decode(&bytes).is_err() | assemble(&parts, None).is_err()
    }
    let seeds = Gen::from_size_and_seed(300, 3);
    let mut check = QuickCheck::new().rng(seeds).tests(3_000);
    check.quickcheck(decodes_or_not as fn(Vec<u8>) -> bool);
}

/// A chunk in the store has other bytes than its name says. The load fails, and says so; whoever holds
/// the chunk from before is not disturbed.
#[tokio::test]
async fn a_damaged_chunk_in_the_store_is_found() {
    let platform = Arc::new(MemoryPlatform::new());
    let whole = committed(&platform).await;
    let store = ConfigStore::new(platform.clone());
    let place = whole.root.chunks[0].clone();
    let mut objects = platform.objects();
    objects.get_mut(&place.key()).unwrap().value = Bytes::from_static(b"other");
    platform.restore(objects);
    let error = store.load().await.unwrap_err();
    assert_eq!(error, ConfigError::Chunk(ChunkError::Digest(place.digest)));
    assert_eq!(store.chunk(&place).await.unwrap_err(), error);
    assert!(store.load_after(&whole.parts).await.is_ok());
}

/// The encoding is that of a later program. This one says so, and reads nothing into it.
#[test]
fn a_later_format_is_refused_by_its_number() {
    let root = Root {
        format: 9,
        ..Root::clone(&loaded().root)
    };
    let bytes = root.encode().unwrap();
    assert_eq!(Root::decode(&bytes), Err(ChunkError::Format(9)));
}

/// Losers of races and crashes have left more garbage than one list call tells. All of it goes, and
/// what is in use or may come into use stays.
#[tokio::test]
async fn garbage_of_several_lists_is_collected() {
    let platform = Arc::new(MemoryPlatform::new());
    let whole = committed(&platform).await;
    let place = |i: u64, since: u64| {
        let digest = format!("config/chunk/{since:016x}-{i:064x}");
        ChunkRef::from_key(&digest).unwrap()
    };
    for i in 0..1_200 {
        for since in [1, 2] {
            let key = place(i, since).key();
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
