//! A change worked out against a base: the chunks to write and the root to swing. No network.

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::config::Config;
use crate::config_chunks::Chunk;
use crate::config_chunks::ChunkError;
use crate::config_chunks::ChunkRef;
use crate::config_chunks::CommitRecord;
use crate::config_chunks::FORMAT;
use crate::config_chunks::HISTORY;
use crate::config_chunks::MAX_RETIRED;
use crate::config_chunks::Parts;
use crate::config_chunks::Root;
use crate::config_chunks::WriterId;
use crate::config_chunks::split;
use crate::config_edit::Change;
use crate::ids::Name;
use crate::ids::Version;

/// Seconds for which a retired chunk stays for readers that still hold its root. A reader reads all
/// chunks within seconds; one that is later finds a chunk missing and reads the root again.
pub const KEEP_RETIRED: u64 = 600;

/// Who makes a commit, and when.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Signature {
    /// A random number by which the writer knows its own commit again.
    pub writer: WriterId,
    /// The operator.
    pub author: Name,
    /// Seconds since 1970.
    pub at: u64,
    /// A version that the new one must be above, as where the store was restored from a backup.
    pub floor: Version,
}

/// A change worked out: what would be written.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The configuration after the change.
    pub config: Config,
    /// The root after the change.
    pub root: Root,
    /// The chunks that the store lacks, each with its place.
    pub chunks: Vec<PlannedChunk>,
    /// The bytes of the new version.
    pub parts: Parts,
}

/// A chunk to write.
#[derive(Clone, Debug)]
pub struct PlannedChunk {
    /// Where it goes.
    pub place: ChunkRef,
    /// What goes there.
    pub bytes: Bytes,
}

impl Plan {
    /// Works out a change that leads to `config`, which is valid. `base` is `None` for the first one.
    pub fn new(
        base: Option<&Root>,
        config: Config,
        change: &Change,
        signature: Signature,
    ) -> Result<Self, ChunkError> {
        let before = base.map_or(Version(0), |b| b.version);
        let version = Version(before.max(signature.floor).0 + 1);
        // The number of buckets never falls: a change of it rewrites every chunk.
        let chunks = split(&config, base.map_or(1, |b| b.chunks.len()))?;
        let old: &[ChunkRef] = base.map_or(&[], |b| &b.chunks);
        let places: Vec<ChunkRef> = chunks.iter().map(|c| place(c, old, version)).collect();
        let planned = planned(&chunks, &places, version);
        let record = CommitRecord {
            version,
            writer: signature.writer,
            author: signature.author,
            at: signature.at,
            summary: summary(change),
            retired: retired(old, &places),
        };
        let root = Root {
            format: FORMAT,
            version,
            chunks: places,
            history: remember(base, record),
        };
        let parts = Parts {
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

    /// The writer.
    pub fn writer(&self) -> WriterId {
        self.root.last().writer
    }

    /// The number of bytes that would be written, the root included.
    pub fn bytes(&self) -> usize {
        let chunks = self.chunks.iter().map(|c| c.bytes.len());
        self.parts.root.len() + chunks.sum::<usize>()
    }
}

fn planned(chunks: &[Chunk], places: &[ChunkRef], version: Version) -> Vec<PlannedChunk> {
    let mut seen = BTreeSet::new();
    let mut planned = Vec::new();
    for (chunk, place) in chunks.iter().zip(places) {
        if place.since == version && seen.insert(place.digest) {
            let bytes = chunk.bytes.clone();
            let place = place.clone();
            planned.push(PlannedChunk { place, bytes });
        }
    }
    planned
}

fn retired(old: &[ChunkRef], new: &[ChunkRef]) -> Vec<ChunkRef> {
    let kept: BTreeSet<&ChunkRef> = new.iter().collect();
    let gone: BTreeSet<&ChunkRef> = old.iter().filter(|c| !kept.contains(c)).collect();
    gone.into_iter().cloned().collect()
}

// The root is small, and the summary is for people.
const SUMMARY_BYTES: usize = 60;

fn summary(change: &Change) -> String {
    let mut text = match change.edits.as_slice() {
        [] => "no change".to_owned(),
        [edit] => edit.to_string(),
        [edit, rest @ ..] => format!("{edit} and {} more", rest.len()),
    };
    let end = (0..=SUMMARY_BYTES)
        .rev()
        .find(|i| text.is_char_boundary(*i));
    text.truncate(end.unwrap_or(0));
    text
}

// A chunk that the base names is used again. Any other one is written under the new version, also if
// one with the same digest lies about: the collector may be about to delete that one.
fn place(chunk: &Chunk, old: &[ChunkRef], version: Version) -> ChunkRef {
    let kept = old.iter().find(|c| c.digest == chunk.digest);
    kept.cloned().unwrap_or(ChunkRef {
        since: version,
        digest: chunk.digest,
    })
}

fn remember(base: Option<&Root>, record: CommitRecord) -> Vec<CommitRecord> {
    let old: &[CommitRecord] = base.map_or(&[], |b| &b.history);
    let start = (old.len() + 1).saturating_sub(HISTORY);
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

/// The chunks that a collector must leave at `now`, in seconds since 1970.
pub fn needed_chunks(root: &Root, now: u64) -> BTreeSet<ChunkRef> {
    let recent = |r: &&CommitRecord| r.at + KEEP_RETIRED > now;
    let retired = root.history.iter().filter(recent).flat_map(|r| &r.retired);
    root.chunks.iter().chain(retired).cloned().collect()
}
