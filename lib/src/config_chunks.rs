//! The configuration cut into immutable chunks, and the root that names them by digest.
//!
//! Objects are put into buckets by a hash of their names; a chunk is the part of the configuration
//! that falls into one bucket. A small change rewrites one chunk and the root, and a peer that is one
//! version behind pulls only these. Chunks and roots are the same bytes in the store and between
//! peers, so that whoever receives them can verify them by digest, whoever sent them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use thiserror::Error;

use crate::config::Config;
use crate::config_check::Fault;
use crate::config_check::check;
use crate::copy_type;
use crate::ids::Name;
use crate::ids::Version;
use crate::platform::MAX_VALUE;
use crate::value_type;

/// The version of the encoding of roots and chunks.
pub const FORMAT: u16 = 1;
/// The largest number of buckets. With it the root has 37 kB, and a chunk at most a few objects.
pub const MAX_BUCKETS: usize = 1_024;
/// Objects for each bucket. 5,100 workspaces with a key each make 64 buckets: a change of one writes
/// 12 kB, near the least that chunk and root can have together (11 kB, with 128), and a first load
/// takes half as many calls as there. docs/design/configuration.md has the measurement.
pub const BUCKET_OBJECTS: usize = 160;
/// Commits that the root remembers, so that a writer whose answer was lost finds its own among
/// those of others. At 3,400 changes a day it reaches seven minutes back.
pub const HISTORY: usize = 16;
/// Retired chunks that the root remembers, which bounds the root after changes of many objects.
pub const MAX_RETIRED: usize = 256;

/// Why the parts of a configuration cannot be put together.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum ChunkError {
    /// The bytes are not those that the digest names.
    #[error("chunk {0} does not have the bytes that its digest names; read it from elsewhere")]
    Digest(ChunkDigest),
    /// A chunk is missing.
    #[error("chunk {0} is missing; read the root again")]
    Missing(ChunkDigest),
    /// The bytes cannot be decoded.
    #[error("the {0} cannot be decoded; read it from elsewhere")]
    Malformed(&'static str),
    /// The encoding is newer than this program.
    #[error("the configuration has format {0}, and this program reads {FORMAT}; replace it")]
    Format(u16),
    /// An object or list does not fit into a chunk.
    #[error("a part of the configuration has {0} bytes, too many for one object; make it smaller")]
    TooLarge(usize),
    /// The configuration is not valid by this program's rules.
    #[error("the configuration has {} faults, first: {}", .0.len(), .0[0])]
    Invalid(Vec<Fault>),
}

/// The result of encoding or decoding.
pub type Result<T> = std::result::Result<T, ChunkError>;

copy_type! {
    /// The BLAKE3 digest of a chunk's bytes.
    pub struct ChunkDigest([u8; 32]);

    /// The BLAKE3 digest of a root's bytes. It stands for the whole configuration.
    pub struct ConfigDigest([u8; 32]);

    /// Who made a commit: random, so that a writer knows its own commit again.
    pub struct WriterId(pub u128);
}

value_type! {
    /// A chunk as a root names it.
    #[derive(Ord, PartialOrd)]
    pub struct ChunkRef {
        /// The version for which it was written first; part of its key in the store.
        pub since: Version,
        /// The digest of its bytes.
        pub digest: ChunkDigest,
    }

    /// A commit as a root remembers it.
    pub struct CommitRecord {
        /// The version that it made.
        pub version: Version,
        /// The writer.
        pub writer: WriterId,
        /// The operator.
        pub author: Name,
        /// Seconds since 1970 by the operator's clock. For people only.
        pub at: u64,
        /// What it did, in a few words.
        pub summary: String,
        /// The chunks that it put out of use.
        pub retired: Vec<ChunkRef>,
    }

    /// The root: one version of the configuration.
    pub struct Root {
        /// The version of the encoding.
        pub format: u16,
        /// The version of the configuration. Grows with every commit.
        pub version: Version,
        /// The chunk of each bucket. The length is a power of two.
        pub chunks: Vec<ChunkRef>,
        /// The latest commits, the newest last. Not empty.
        pub history: Vec<CommitRecord>,
    }
}

/// A chunk's bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Their digest.
    pub digest: ChunkDigest,
    /// The bytes.
    pub bytes: Bytes,
}

/// The bytes of one version, as peers hand them on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Parts {
    /// The root's bytes.
    pub root: Bytes,
    /// The chunks by digest.
    pub chunks: BTreeMap<ChunkDigest, Bytes>,
}

/// A version of the configuration, whole and validated.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The version.
    pub version: Version,
    /// The digest of the root.
    pub digest: ConfigDigest,
    /// The configuration.
    pub config: Arc<Config>,
    /// The root.
    pub root: Arc<Root>,
    /// The bytes that make it up.
    pub parts: Arc<Parts>,
    /// The version of the root object in the store; `None` where it came from a peer, or is not the
    /// newest any more. Only with it can the version be the base of a commit.
    pub stored: Option<Version>,
}

impl Chunk {
    /// A chunk with the given bytes.
    pub fn new(bytes: Bytes) -> Self {
        let digest = ChunkDigest(*blake3::hash(&bytes).as_bytes());
        Chunk { digest, bytes }
    }

    fn decode(&self) -> Result<Config> {
        postcard::from_bytes(&self.bytes).map_err(|_| ChunkError::Malformed("chunk"))
    }
}

impl ChunkRef {
    /// The key of the chunk's object in the store.
    pub fn key(&self) -> String {
        format!("{CHUNK_PREFIX}{:016x}-{}", self.since.0, self.digest)
    }

    /// The chunk that a key names.
    pub fn from_key(key: &str) -> Option<Self> {
        let (since, digest) = key.strip_prefix(CHUNK_PREFIX)?.split_once('-')?;
        Some(ChunkRef {
            since: Version(u64::from_str_radix(since, 16).ok()?),
            digest: ChunkDigest(*blake3::Hash::from_hex(digest).ok()?.as_bytes()),
        })
    }
}

/// The key of the root object in the store.
pub const ROOT_KEY: &str = "config/root";
/// The beginning of the keys of chunks in the store.
pub const CHUNK_PREFIX: &str = "config/chunk/";

impl Root {
    /// The bytes of the root.
    pub fn encode(&self) -> Result<Bytes> {
        let bytes = postcard::to_stdvec(self).map_err(|_| ChunkError::Malformed("root"))?;
        fits(bytes)
    }

    /// The root that the bytes hold.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        // The format stands first, so that it can be read from an encoding that is not known.
        let malformed = |_| ChunkError::Malformed("root");
        let (format, _) = postcard::take_from_bytes::<u16>(bytes).map_err(malformed)?;
        if format != FORMAT {
            return Err(ChunkError::Format(format));
        }
        let root: Root = postcard::from_bytes(bytes).map_err(malformed)?;
        let newest = root.history.last().map(|r| r.version);
        if newest != Some(root.version) || root.chunks.len() > MAX_BUCKETS {
            return Err(ChunkError::Malformed("root"));
        }
        Ok(root)
    }

    /// The newest commit.
    pub fn last(&self) -> &CommitRecord {
        self.history.last().expect("a decoded root has a history")
    }

    /// The commit that `writer` made, if the root remembers it.
    pub fn commit_of(&self, writer: WriterId) -> Option<&CommitRecord> {
        self.history.iter().find(|r| r.writer == writer)
    }

    /// The chunks that a holder of `parts` lacks, each once.
    pub fn lacking(&self, parts: &Parts) -> BTreeSet<ChunkRef> {
        let lacks = |c: &&ChunkRef| !parts.chunks.contains_key(&c.digest);
        self.chunks.iter().filter(lacks).cloned().collect()
    }
}

/// The digest of a root's bytes.
pub fn root_digest(bytes: &[u8]) -> ConfigDigest {
    ConfigDigest(*blake3::hash(bytes).as_bytes())
}

/// Cuts a configuration into chunks, one for each bucket. There are at least `least` buckets.
pub fn split(config: &Config, least: usize) -> Result<Vec<Chunk>> {
    let mut buckets = bucket_count(config).max(least).min(MAX_BUCKETS);
    loop {
        match split_into(config, buckets) {
            Err(ChunkError::TooLarge(_)) if buckets < MAX_BUCKETS => buckets *= 2,
            result => return result,
        }
    }
}

fn bucket_count(config: &Config) -> usize {
    let maps = config.services.len() + config.workspaces.len() + config.keys.len();
    let hosts = config.operators.len() + config.placements.len() + config.drains.len();
    let wanted = (maps + hosts).div_ceil(BUCKET_OBJECTS);
    wanted.next_power_of_two()
}

/// Cuts a configuration into exactly `buckets` chunks.
pub fn split_into(config: &Config, buckets: usize) -> Result<Vec<Chunk>> {
    let mut parts = vec![Config::default(); buckets];
    let of = |kind: &str, name: &Name| bucket(kind, name, buckets);
    for (name, value) in &config.services {
        let part = &mut parts[of("service", name)];
        part.services.insert(name.clone(), value.clone());
    }
    for (name, value) in &config.workspaces {
        let part = &mut parts[of("workspace", name)];
        part.workspaces.insert(name.clone(), value.clone());
    }
    for (digest, value) in &config.keys {
        // A key stands beside its workspace, since the two are often made together.
        let part = &mut parts[of("workspace", &value.workspace)];
        part.keys.insert(*digest, value.clone());
    }
    for (name, value) in &config.operators {
        let part = &mut parts[of("operator", name)];
        part.operators.insert(name.clone(), value.clone());
    }
    for (host, value) in &config.placements {
        let part = &mut parts[of("host", host)];
        part.placements.insert(host.clone(), value.clone());
    }
    for host in &config.drains {
        parts[of("host", host)].drains.insert(host.clone());
    }
    parts.iter().map(encode_part).collect()
}

fn encode_part(part: &Config) -> Result<Chunk> {
    let bytes = postcard::to_stdvec(part).map_err(|_| ChunkError::Malformed("chunk"))?;
    fits(bytes).map(Chunk::new)
}

fn fits(bytes: Vec<u8>) -> Result<Bytes> {
    if bytes.len() > MAX_VALUE {
        return Err(ChunkError::TooLarge(bytes.len()));
    }
    Ok(Bytes::from(bytes))
}

fn bucket(kind: &str, name: &Name, buckets: usize) -> usize {
    let mut hasher = blake3::Hasher::new();
    hasher.update(kind.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_str().as_bytes());
    let hash = hasher.finalize();
    let low = u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]);
    usize::from(low) % buckets
}

/// Puts a version together from its bytes: verifies each digest, and validates the whole. Parts that
/// the root does not name are left out.
pub fn assemble(parts: &Parts, stored: Option<Version>) -> Result<Loaded> {
    let root = Root::decode(&parts.root)?;
    let mut config = Config::default();
    let mut chunks = BTreeMap::new();
    for digest in root.chunks.iter().map(|c| c.digest) {
        let bytes = parts.chunks.get(&digest);
        let bytes = bytes.ok_or(ChunkError::Missing(digest))?.clone();
        let chunk = Chunk::new(bytes);
        if chunk.digest != digest {
            return Err(ChunkError::Digest(digest));
        }
        merge(&mut config, chunk.decode()?);
        chunks.insert(digest, chunk.bytes);
    }
    let faults = check(&config);
    if !faults.is_empty() {
        return Err(ChunkError::Invalid(faults));
    }
    Ok(Loaded {
        version: root.version,
        digest: root_digest(&parts.root),
        config: Arc::new(config),
        root: Arc::new(root),
        parts: Arc::new(Parts {
            root: parts.root.clone(),
            chunks,
        }),
        stored,
    })
}

fn merge(config: &mut Config, part: Config) {
    config.services.extend(part.services);
    config.workspaces.extend(part.workspaces);
    config.keys.extend(part.keys);
    config.operators.extend(part.operators);
    config.placements.extend(part.placements);
    config.drains.extend(part.drains);
}

impl fmt::Display for ChunkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Display for WriterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
