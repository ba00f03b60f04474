//! The encoding of the configuration: immutable chunks, and a root that lists them by digest.
//!
//! Objects are assigned to buckets by a hash of their names; a chunk holds the objects of one bucket.
//! A small change rewrites one chunk and the root, and a peer that is one version behind fetches only
//! these. The store and peers exchange the same bytes, so a receiver can verify them by digest
//! regardless of their source.

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
pub const FORMAT_VERSION: u16 = 1;
/// The largest number of buckets. The root then takes 37 kB, and a chunk holds at most a few objects.
pub const MAX_BUCKETS: usize = 1_024;
/// The target number of objects per bucket. 5,100 workspaces with a key each make 64 buckets: a change
/// of one workspace writes 12 kB. The minimum of chunk and root together is 11 kB, with 128 buckets,
/// but then a first load takes twice as many calls. docs/design/configuration.md has the measurement.
pub const OBJECTS_PER_BUCKET: usize = 160;
/// The number of commits that the root lists, so that a writer that lost the response to its commit
/// can find out whether it succeeded. At 3,400 changes a day they span seven minutes.
pub const MAX_HISTORY: usize = 16;
/// The largest number of retired chunks that the root lists. Bounds the size of the root after changes
/// of many objects.
pub const MAX_RETIRED: usize = 256;

/// The error returned when a version cannot be encoded, decoded or assembled from its chunks.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum ChunkError {
    /// The bytes of a chunk do not match its digest.
    #[error("chunk {0} does not match its digest; read it from another source")]
    Digest(ChunkDigest),
    /// A chunk is missing.
    #[error("chunk {0} is missing; read the root again")]
    Missing(ChunkDigest),
    /// The bytes cannot be decoded.
    #[error("the {0} cannot be decoded; read it from another source")]
    Malformed(&'static str),
    /// The format version of the encoding is not supported.
    #[error(
        "the configuration has format version {0}, but this program supports only {FORMAT_VERSION}; upgrade it"
    )]
    Format(u16),
    /// A chunk or root exceeds the size limit of the store.
    #[error(
        "a chunk or root of the configuration has {0} bytes, more than the store accepts; make it smaller"
    )]
    TooLarge(usize),
    /// The configuration fails the validation of this program.
    #[error("the configuration has {} faults, first: {}", .0.len(), .0[0])]
    Invalid(Vec<Fault>),
}

/// The result type of encoding and decoding.
pub type Result<T> = std::result::Result<T, ChunkError>;

copy_type! {
    /// The BLAKE3 digest of a chunk's bytes.
    pub struct ChunkDigest([u8; 32]);

    /// The BLAKE3 digest of a root's bytes. It identifies the content of the whole configuration.
    pub struct ConfigDigest([u8; 32]);

    /// Identifies one attempt to commit. Random, so that a writer can recognize its own commit.
    pub struct WriterId(pub u128);
}

value_type! {
    /// The reference of a root to a chunk.
    #[derive(Ord, PartialOrd)]
    pub struct ChunkRef {
        /// The version for which the chunk was first written; part of its key in the store.
        pub since: Version,
        /// The digest of the chunk.
        pub digest: ChunkDigest,
    }

    /// An entry of the commit history in a root.
    pub struct CommitRecord {
        /// The version that the commit created.
        pub version: Version,
        /// The identifier of the writer.
        pub writer: WriterId,
        /// The operator who made the change.
        pub author: Name,
        /// The time by the operator's clock, in seconds since the Unix epoch. Informational except for the
        /// lifetime of retired chunks.
        pub at: u64,
        /// A short description of the change.
        pub summary: String,
        /// The chunks that the version before referenced and this one does not.
        pub retired: Vec<ChunkRef>,
    }

    /// The root of one version of the configuration.
    pub struct Root {
        /// The version of the encoding.
        pub format: u16,
        /// The version of the configuration. Increases with every commit.
        pub version: Version,
        /// The chunk of each bucket, in bucket order. The length is a power of two.
        pub chunks: Vec<ChunkRef>,
        /// The latest commits, oldest first. Not empty.
        pub history: Vec<CommitRecord>,
    }
}

/// An encoded chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The digest of the bytes.
    pub digest: ChunkDigest,
    /// The encoded objects.
    pub bytes: Bytes,
}

/// The encoded root and chunks of one version, as exchanged between peers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EncodedConfig {
    /// The encoded root.
    pub root: Bytes,
    /// The encoded chunks by digest.
    pub chunks: BTreeMap<ChunkDigest, Bytes>,
}

/// A complete and validated version of the configuration.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The version number.
    pub version: Version,
    /// The digest of the root.
    pub digest: ConfigDigest,
    /// The decoded configuration.
    pub config: Arc<Config>,
    /// The decoded root.
    pub root: Arc<Root>,
    /// The encoded root and chunks.
    pub parts: Arc<EncodedConfig>,
    /// The version of the root object in the store; `None` if this version came from a peer, or is no
    /// longer the newest. Required for a version to be the base of a commit.
    pub stored: Option<Version>,
}

impl Chunk {
    /// Creates a chunk from its bytes.
    pub fn new(bytes: Bytes) -> Self {
        let digest = ChunkDigest(*blake3::hash(&bytes).as_bytes());
        Chunk { digest, bytes }
    }

    fn decode(&self) -> Result<Config> {
        postcard::from_bytes(&self.bytes).map_err(|_| ChunkError::Malformed("chunk"))
    }
}

impl ChunkRef {
    /// Returns the key of the chunk in the store.
    pub fn key(&self) -> String {
        format!("{CHUNK_PREFIX}{:016x}-{}", self.since.0, self.digest)
    }

    /// Parses the key of a chunk.
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
/// The prefix of the keys of chunks in the store.
pub const CHUNK_PREFIX: &str = "config/chunk/";

impl Root {
    /// Encodes the root.
    pub fn encode(&self) -> Result<Bytes> {
        let bytes = postcard::to_stdvec(self).map_err(|_| ChunkError::Malformed("root"))?;
        check_size(bytes)
    }

    /// Decodes a root.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        // The format version is the first field, so it can be read from an unknown encoding.
        let malformed = |_| ChunkError::Malformed("root");
        let (format, _) = postcard::take_from_bytes::<u16>(bytes).map_err(malformed)?;
        if format != FORMAT_VERSION {
            return Err(ChunkError::Format(format));
        }
        let root: Root = postcard::from_bytes(bytes).map_err(malformed)?;
        let newest = root.history.last().map(|r| r.version);
        if newest != Some(root.version) || root.chunks.len() > MAX_BUCKETS {
            return Err(ChunkError::Malformed("root"));
        }
        Ok(root)
    }

    /// Returns the newest commit.
    pub fn last(&self) -> &CommitRecord {
        self.history.last().expect("a decoded root has a history")
    }

    /// Returns the commit of `writer`, if it is in the history.
    pub fn commit_by(&self, writer: WriterId) -> Option<&CommitRecord> {
        self.history.iter().find(|r| r.writer == writer)
    }

    /// Returns the chunks that are not in `parts`, without duplicates.
    pub fn missing_chunks(&self, parts: &EncodedConfig) -> BTreeSet<ChunkRef> {
        let missing = |c: &&ChunkRef| !parts.chunks.contains_key(&c.digest);
        self.chunks.iter().filter(missing).cloned().collect()
    }
}

/// Computes the digest of an encoded root.
pub fn root_digest(bytes: &[u8]) -> ConfigDigest {
    ConfigDigest(*blake3::hash(bytes).as_bytes())
}

/// Encodes a configuration as chunks, one for each of at least `min_buckets` buckets.
pub fn split(config: &Config, min_buckets: usize) -> Result<Vec<Chunk>> {
    let mut buckets = bucket_count(config).max(min_buckets).min(MAX_BUCKETS);
    loop {
        match split_into(config, buckets) {
            Err(ChunkError::TooLarge(_)) if buckets < MAX_BUCKETS => buckets *= 2,
            result => return result,
        }
    }
}

fn bucket_count(config: &Config) -> usize {
    let customer_objects = config.services.len() + config.workspaces.len() + config.keys.len();
    let operator_objects = config.operators.len() + config.placements.len() + config.drains.len();
    let wanted = (customer_objects + operator_objects).div_ceil(OBJECTS_PER_BUCKET);
    wanted.next_power_of_two()
}

/// Encodes a configuration as exactly `buckets` chunks.
pub fn split_into(config: &Config, buckets: usize) -> Result<Vec<Chunk>> {
    let mut parts = vec![Config::default(); buckets];
    let bucket_of = |kind: &str, name: &Name| bucket(kind, name, buckets);
    for (name, value) in &config.services {
        let part = &mut parts[bucket_of("service", name)];
        part.services.insert(name.clone(), value.clone());
    }
    for (name, value) in &config.workspaces {
        let part = &mut parts[bucket_of("workspace", name)];
        part.workspaces.insert(name.clone(), value.clone());
    }
    for (digest, value) in &config.keys {
        // A key is in the bucket of its workspace, since the two are often created together.
        let part = &mut parts[bucket_of("workspace", &value.workspace)];
        part.keys.insert(*digest, value.clone());
    }
    for (name, value) in &config.operators {
        let part = &mut parts[bucket_of("operator", name)];
        part.operators.insert(name.clone(), value.clone());
    }
    for (host, value) in &config.placements {
        let part = &mut parts[bucket_of("host", host)];
        part.placements.insert(host.clone(), value.clone());
    }
    for host in &config.drains {
        parts[bucket_of("host", host)].drains.insert(host.clone());
    }
    parts.iter().map(encode_part).collect()
}

fn encode_part(part: &Config) -> Result<Chunk> {
    let bytes = postcard::to_stdvec(part).map_err(|_| ChunkError::Malformed("chunk"))?;
    check_size(bytes).map(Chunk::new)
}

fn check_size(bytes: Vec<u8>) -> Result<Bytes> {
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
    let prefix = u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]);
    usize::from(prefix) % buckets
}

/// Decodes a version from its root and chunks. Verifies the digest of each chunk and validates the
/// configuration. Chunks that the root does not reference are ignored and dropped.
pub fn assemble(parts: &EncodedConfig, stored: Option<Version>) -> Result<LoadedConfig> {
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
    Ok(LoadedConfig {
        version: root.version,
        digest: root_digest(&parts.root),
        config: Arc::new(config),
        root: Arc::new(root),
        parts: Arc::new(EncodedConfig {
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
