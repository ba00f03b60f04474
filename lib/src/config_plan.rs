//! Computes the new root and the chunks to write for a change. Makes no calls to the store.

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::config::Config;
use crate::config_chunks::Chunk;
use crate::config_chunks::ChunkError;
use crate::config_chunks::ChunkRef;
use crate::config_chunks::CommitRecord;
use crate::config_chunks::EncodedConfig;
use crate::config_chunks::FORMAT_VERSION;
use crate::config_chunks::MAX_HISTORY;
use crate::config_chunks::MAX_RETIRED;
use crate::config_chunks::Root;
use crate::config_chunks::WriterId;
use crate::config_chunks::split;
use crate::config_edit::Change;
use crate::ids::Name;
use crate::ids::Version;

/// How long a retired chunk is kept for readers of an older root, in seconds. A reader takes a few
/// seconds to read all chunks; one that takes longer finds a chunk missing and reads the root again.
pub const RETIRED_CHUNK_TTL_SECS: u64 = 600;

/// The metadata of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommitInfo {
    /// A random identifier by which the writer recognizes its own commit.
    pub writer: WriterId,
    /// The operator who makes the change.
    pub author: Name,
    /// The time, in seconds since the Unix epoch.
    pub at: u64,
    /// The new version must be above this one, for example after the store was restored from a backup.
    pub floor: Version,
}

/// The result of a change: the new version, and the objects to write for it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The configuration after the change.
    pub config: Config,
    /// The root after the change.
    pub root: Root,
    /// The chunks to write.
    pub chunks: Vec<PlannedChunk>,
    /// The encoded root and chunks of the new version.
    pub parts: EncodedConfig,
}

/// A chunk to write.
#[derive(Clone, Debug)]
pub struct PlannedChunk {
    /// The reference to the chunk, which gives its key.
    pub chunk_ref: ChunkRef,
    /// The encoded chunk.
    pub bytes: Bytes,
}

impl Plan {
    /// Plans the commit of a change that results in `config`, which must be valid. `base` is `None` for
    /// the first commit.
    pub fn new(
        base: Option<&Root>,
        config: Config,
        change: &Change,
        signature: CommitInfo,
    ) -> Result<Self, ChunkError> {
        let before = base.map_or(Version(0), |b| b.version);
        let version = Version(before.max(signature.floor).0 + 1);
        // The number of buckets never decreases, since changing it rewrites every chunk.
        let chunks = split(&config, base.map_or(1, |b| b.chunks.len()))?;
        let old: &[ChunkRef] = base.map_or(&[], |b| &b.chunks);
        let chunk_refs: Vec<ChunkRef> = chunks
            .iter()
            .map(|c| reuse_or_create_ref(c, old, version))
            .collect();
        let planned = chunks_to_write(&chunks, &chunk_refs, version);
        let record = CommitRecord {
            version,
            writer: signature.writer,
            author: signature.author,
            at: signature.at,
            summary: summary(change),
            retired: retired_chunks(old, &chunk_refs),
        };
        let root = Root {
            format: FORMAT_VERSION,
            version,
            chunks: chunk_refs,
            history: append_history(base, record),
        };
        let parts = EncodedConfig {
            root: root.encode()?,
            chunks: chunks.into_iter().map(|c| (c.digest, c.bytes)).collect(),
        };
        Ok(Plan {
            config,
            root,
            chunks: planned,
            parts,
        })
    }

    /// Returns the identifier of the writer.
    pub fn writer(&self) -> WriterId {
        self.root.last().writer
    }

    /// Returns the number of bytes to write, including the root.
    pub fn bytes(&self) -> usize {
        let chunks = self.chunks.iter().map(|c| c.bytes.len());
        self.parts.root.len() + chunks.sum::<usize>()
    }
}

fn chunks_to_write(
    chunks: &[Chunk],
    chunk_refs: &[ChunkRef],
    version: Version,
) -> Vec<PlannedChunk> {
    let mut seen = BTreeSet::new();
    let mut planned = Vec::new();
    for (chunk, chunk_ref) in chunks.iter().zip(chunk_refs) {
        if chunk_ref.since == version && seen.insert(chunk_ref.digest) {
            let bytes = chunk.bytes.clone();
            let chunk_ref = chunk_ref.clone();
            planned.push(PlannedChunk { chunk_ref, bytes });
        }
    }
    planned
}

fn retired_chunks(old: &[ChunkRef], new: &[ChunkRef]) -> Vec<ChunkRef> {
    let kept: BTreeSet<&ChunkRef> = new.iter().collect();
    let gone: BTreeSet<&ChunkRef> = old.iter().filter(|c| !kept.contains(c)).collect();
    gone.into_iter().cloned().collect()
}

// Limits the size of the root. The summary is informational.
const MAX_SUMMARY_BYTES: usize = 60;

fn summary(change: &Change) -> String {
    let mut text = match change.edits.as_slice() {
        [] => "no change".to_owned(),
        [edit] => edit.to_string(),
        [edit, rest @ ..] => format!("{edit} and {} more", rest.len()),
    };
    let end = (0..=MAX_SUMMARY_BYTES)
        .rev()
        .find(|i| text.is_char_boundary(*i));
    text.truncate(end.unwrap_or(0));
    text
}

// Reuses a chunk of the base. Any other chunk gets a key of the new version, even if the store has one
// with the same digest: garbage collection may be about to delete that one.
fn reuse_or_create_ref(chunk: &Chunk, old: &[ChunkRef], version: Version) -> ChunkRef {
    let kept = old.iter().find(|c| c.digest == chunk.digest);
    kept.cloned().unwrap_or(ChunkRef {
        since: version,
        digest: chunk.digest,
    })
}

fn append_history(base: Option<&Root>, record: CommitRecord) -> Vec<CommitRecord> {
    let old: &[CommitRecord] = base.map_or(&[], |b| &b.history);
    let start = (old.len() + 1).saturating_sub(MAX_HISTORY);
    let mut history = old[start..].to_vec();
    history.push(record);
    let mut total = 0;
    for record in history.iter_mut().rev() {
        total += record.retired.len();
        if total > MAX_RETIRED {
            record.retired.clear();
        }
    }
    history
}

/// Returns the chunks that garbage collection must keep at `now`, in seconds since the Unix epoch.
pub fn needed_chunks(root: &Root, now: u64) -> BTreeSet<ChunkRef> {
    let recent = |r: &&CommitRecord| r.at + RETIRED_CHUNK_TTL_SECS > now;
    let retired = root.history.iter().filter(recent).flat_map(|r| &r.retired);
    root.chunks.iter().chain(retired).cloned().collect()
}
