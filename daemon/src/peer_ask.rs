//! What one process asks another for itself: the configuration and the list of hosts.
//!
//! Load pattern: 3,400 changes a day, restarts of everything, and outages of the store. Without it
//! every process would read every change from the store, and none could start while the store is
//! down. One exchange over a connection of its own, so that it waits behind no stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::config_chunks::Chunk;
use cicada_lib::config_chunks::EncodedConfig;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::config_chunks::assemble;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::handshake;
use cicada_lib::platform::HostRecord;
use cicada_lib::wire::ConfigParts;
use cicada_lib::wire::MAX_FRAME;
use cicada_lib::wire::PeerAsk;
use cicada_lib::wire::PeerResponse;
use cicada_lib::wire::Result;
use cicada_lib::wire::ToAgent;
use cicada_lib::wire::WireError;

use crate::link;
use crate::link::LinkSettings;
use crate::mark_spread::MarkSink;
use crate::status::Process;

/// The answer of this process.
pub(crate) fn answer(process: &Process, sink: &dyn MarkSink, ask: &PeerAsk) -> PeerResponse {
    match ask {
        PeerAsk::Marks(marks) => {
            sink.learn(marks);
            PeerResponse::Taken
        }
        PeerAsk::Hosts { held } => {
            let hosts = process.hosts();
            let differs = digest(&hosts) != *held;
            PeerResponse::Hosts(differs.then(|| hosts.as_ref().clone()))
        }
        PeerAsk::Config { mark, held } => {
            let loaded = process.config().filter(|loaded| mark_of(loaded) == *mark);
            PeerResponse::Config(loaded.map(|loaded| parts_for(&loaded, held)))
        }
    }
}

/// The number and digest of a version.
pub(crate) fn mark_of(loaded: &LoadedConfig) -> ConfigVersionId {
    ConfigVersionId {
        version: loaded.version,
        digest: loaded.digest,
    }
}

fn parts_for(
    loaded: &LoadedConfig,
    held: &[cicada_lib::config_chunks::ChunkDigest],
) -> ConfigParts {
    let lacking = loaded
        .parts
        .chunks
        .iter()
        .filter(|(digest, _)| !held.contains(digest));
    ConfigParts {
        root: loaded.parts.root.to_vec(),
        chunks: lacking.map(|(_, bytes)| bytes.to_vec()).collect(),
    }
}

/// Asks a peer for a version of the configuration; `None` where it does not have it.
pub(crate) async fn config(
    peer: SocketAddr,
    settings: &LinkSettings,
    mark: &ConfigVersionId,
    held: Option<&Arc<LoadedConfig>>,
) -> Result<Option<LoadedConfig>> {
    let mut parts = held.map_or_else(EncodedConfig::default, |held| held.parts.as_ref().clone());
    let ask = PeerAsk::Config {
        mark: mark.clone(),
        held: parts.chunks.keys().copied().collect(),
    };
    let PeerResponse::Config(Some(found)) = exchange(peer, settings, ask).await? else {
        return Ok(None);
    };
    parts.root = found.root.into();
    for bytes in found.chunks {
        // A chunk's digest is worked out here: a faulty peer can give no other bytes for it.
        let chunk = Chunk::new(bytes.into());
        parts.chunks.insert(chunk.digest, chunk.bytes);
    }
    let loaded = assemble(&parts, None).ok();
    Ok(loaded.filter(|loaded| mark_of(loaded) == *mark))
}

/// The digest of a list of hosts; zero for an empty one.
fn digest(hosts: &[HostRecord]) -> u64 {
    if hosts.is_empty() {
        return 0;
    }
    let bytes = postcard::to_stdvec(hosts).unwrap_or_default();
    let mut start = [0; 8];
    start.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
    u64::from_le_bytes(start)
}

/// Asks a peer for its list of hosts; `None` where it is the one that is held.
pub(crate) async fn hosts(
    peer: SocketAddr,
    settings: &LinkSettings,
    held: &[HostRecord],
) -> Result<Option<Vec<HostRecord>>> {
    let ask = PeerAsk::Hosts { held: digest(held) };
    match exchange(peer, settings, ask).await? {
        PeerResponse::Hosts(hosts) => Ok(hosts),
        _ => Err(WireError::Foreign),
    }
}

/// Tells a peer of evidence on requests that end engines.
pub(crate) async fn marks(
    peer: SocketAddr,
    settings: &LinkSettings,
    marks: Vec<CrashMark>,
) -> Result<()> {
    exchange(peer, settings, PeerAsk::Marks(marks)).await?;
    Ok(())
}

async fn exchange(peer: SocketAddr, settings: &LinkSettings, ask: PeerAsk) -> Result<PeerResponse> {
    let connecting = link::connect(peer, settings);
    let (mut stream, _) = within(settings.connect_time, connecting).await?;
    handshake::write(&mut stream, &ToAgent::Ask(ask)).await?;
    handshake::read_within(&mut stream, MAX_FRAME, settings.silent).await
}

async fn within<T>(limit: Duration, work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::time::timeout(limit, work)
        .await
        .map_err(|_| WireError::Slow)?
}
