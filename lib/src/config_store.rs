//! Reads and commits the configuration in the platform's store.
//!
//! A commit first writes new chunks, which no root references yet, and then replaces the root by one
//! conditional write. The commit takes effect atomically with that write.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;
use thiserror::Error;

use crate::config::Config;
use crate::config_check::Fault;
use crate::config_check::check;
use crate::config_chunks::CHUNK_PREFIX;
use crate::config_chunks::Chunk;
use crate::config_chunks::ChunkError;
use crate::config_chunks::ChunkRef;
use crate::config_chunks::CommitRecord;
use crate::config_chunks::ConfigDigest;
use crate::config_chunks::EncodedConfig;
use crate::config_chunks::LoadedConfig;
use crate::config_chunks::MAX_HISTORY;
use crate::config_chunks::ROOT_KEY;
use crate::config_chunks::Root;
use crate::config_chunks::WriterId;
use crate::config_chunks::assemble;
use crate::config_chunks::root_digest;
use crate::config_edit::Change;
use crate::config_plan::CommitInfo;
use crate::config_plan::Plan;
use crate::config_plan::PlannedChunk;
use crate::config_plan::needed_chunks;
use crate::ids::Name;
use crate::ids::Version;
use crate::platform::Condition;
use crate::platform::Object;
use crate::platform::Platform;
use crate::platform::PlatformError;

// Limits concurrent calls of one process to the store. A first load of 64 chunks takes 8 rounds of a few
// milliseconds, and a thousand processes that start together do not each request all chunks at once.
const MAX_CONCURRENT_CALLS: usize = 8;
// How often a load reads the root, if chunks were deleted after a newer version had replaced them.
const MAX_LOAD_ATTEMPTS: usize = 5;
// Attempts of each write, with exponential backoff. Eight attempts take about 6 s in total: longer than
// a restart of the store's front end, and short enough for an operator to wait.
const MAX_WRITE_ATTEMPTS: u32 = 8;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// The error returned when the configuration cannot be read.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum ConfigError {
    /// A call to the store failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The data in the store are damaged, incomplete or invalid.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
}

/// The result type of reading the configuration.
pub type Result<T> = std::result::Result<T, ConfigError>;

/// The error returned when a change was not committed, or may not have been.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum CommitError {
    /// The change does not apply, or results in an invalid configuration. Nothing was written.
    #[error("the change has {} faults, first: {}; nothing changed", .0.len(), .0[0])]
    Invalid(Vec<Fault>),
    /// Another change was committed first. This one has not taken effect and will not.
    #[error(
        "version {} by operator '{}' ({}) was committed first; \
         nothing of this change took effect: look at it and give the command again",
        .won.version.0, .won.author, .won.summary
    )]
    LostRace {
        /// The newest commit.
        won: Box<CommitRecord>,
    },
    /// The commit failed without changing the root. Nothing changed.
    #[error("nothing changed: {0}")]
    NotCommitted(ConfigError),
    /// The base is not the newest version, or was not read from the store.
    #[error(
        "the change is not based on the newest version in the store; load the configuration again"
    )]
    NotFromStore,
    /// It is unknown whether the change took effect, or whether it still will.
    #[error(
        "it is not known whether version {} was committed ({cause}); \
         `cicada show commits` tells by writer {writer} once the store answers", .version.0
    )]
    Unknown {
        /// The version that the change would create.
        version: Version,
        /// The identifier of the writer in the history of the root.
        writer: WriterId,
        /// The last error of the store.
        cause: PlatformError,
    },
}

/// The result of a successful commit.
#[derive(Clone, Debug)]
pub struct Committed {
    /// The committed version. It can be the base of another commit unless a newer one exists.
    pub loaded: LoadedConfig,
    /// The identifier of the writer in the history of the root.
    pub writer: WriterId,
    /// The number of chunks written.
    pub chunks: usize,
    /// The number of bytes written, including the root.
    pub bytes: usize,
}

/// A root read from the store.
#[derive(Clone, Debug)]
pub struct StoredRoot {
    /// The decoded root.
    pub root: Root,
    /// The digest of the root.
    pub digest: ConfigDigest,
    /// The encoded root.
    pub bytes: Bytes,
    /// The version of the root object in the store, from which a watch continues.
    pub stored: Version,
}

/// Client for the configuration in the store.
#[derive(Clone)]
pub struct ConfigStore {
    platform: Arc<dyn Platform>,
    tries: u32,
    pause: Duration,
    floor: Version,
}

impl ConfigStore {
    /// Creates a client for the given store.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        ConfigStore {
            platform,
            tries: MAX_WRITE_ATTEMPTS,
            pause: INITIAL_BACKOFF,
            floor: Version(0),
        }
    }

    /// Makes commits use versions above `floor`. Processes reject a version that is not above theirs, so
    /// after a restore of the store the next commit must be above the newest version in force.
    pub fn with_floor(mut self, floor: Version) -> Self {
        self.floor = floor;
        self
    }

    /// Attempts each write at most `tries` times, with `pause` as the initial backoff.
    pub fn with_tries(mut self, tries: u32, pause: Duration) -> Self {
        self.tries = tries;
        self.pause = pause;
        self
    }

    /// Reads the root; `None` before the first commit.
    pub async fn root(&self) -> Result<Option<StoredRoot>> {
        let object = self.platform.read(ROOT_KEY).await?;
        object.map(StoredRoot::new).transpose()
    }

    /// Waits for a version of the root object above `after`, for at most `wait`.
    pub async fn watch_root(&self, after: Version, wait: Duration) -> Result<Option<StoredRoot>> {
        let object = self.platform.watch(ROOT_KEY, after, wait).await?;
        object.map(StoredRoot::new).transpose()
    }

    /// Reads a chunk and verifies its digest.
    pub async fn chunk(&self, chunk_ref: &ChunkRef) -> Result<Bytes> {
        let object = self.platform.read(&chunk_ref.key()).await?;
        let bytes = object.ok_or(ChunkError::Missing(chunk_ref.digest))?.value;
        let chunk = Chunk::new(bytes);
        if chunk.digest != chunk_ref.digest {
            return Err(ChunkError::Digest(chunk_ref.digest).into());
        }
        Ok(chunk.bytes)
    }

    /// Loads the configuration; `None` before the first commit.
    pub async fn load(&self) -> Result<Option<LoadedConfig>> {
        self.load_after(&EncodedConfig::default()).await
    }

    /// Loads the configuration, reading only the chunks that are not in `held`.
    pub async fn load_after(&self, held: &EncodedConfig) -> Result<Option<LoadedConfig>> {
        self.load_into(&mut held.clone()).await
    }

    /// Loads the configuration, reading only the chunks that are not in `held`, and adds them to it.
    ///
    /// On error, `held` keeps the chunks that were read, so that a retry makes progress. Otherwise, if
    /// the store rejects some reads because every process starts at once, each load would begin again
    /// with the first chunk and none would complete.
    pub async fn load_into(&self, held: &mut EncodedConfig) -> Result<Option<LoadedConfig>> {
        let mut last = None;
        for _ in 0..MAX_LOAD_ATTEMPTS {
            let Some(found) = self.root().await? else {
                return Ok(None);
            };
            match self.load_missing(&found, held).await {
                // The chunk may have been garbage collected after the root was read. In that case a
                // newer root does not reference it; if the root is unchanged, the chunk is lost.
                Err(ConfigError::Chunk(ChunkError::Missing(digest))) => {
                    if last.replace(found.stored) == Some(found.stored) {
                        return Err(ChunkError::Missing(digest).into());
                    }
                }
                result => return result.map(Some),
            }
        }
        Err(PlatformError::Refused("the root changes faster than it can be read".into()).into())
    }

    /// Loads the version of a root, reading only the chunks that are not in `held`. With a root from a
    /// watch this takes one call less than [`ConfigStore::load_after`].
    pub async fn load_from_root(
        &self,
        found: &StoredRoot,
        held: &EncodedConfig,
    ) -> Result<Option<LoadedConfig>> {
        match self.load_missing(found, &mut held.clone()).await {
            Err(ConfigError::Chunk(ChunkError::Missing(_))) => self.load_after(held).await,
            result => result.map(Some),
        }
    }

    async fn load_missing(
        &self,
        found: &StoredRoot,
        held: &mut EncodedConfig,
    ) -> Result<LoadedConfig> {
        held.root = found.bytes.clone();
        let missing_chunks = found.root.missing_chunks(held);
        let reads = missing_chunks.into_iter().map(|chunk_ref| async move {
            let bytes = self.chunk(&chunk_ref).await?;
            Ok::<_, ConfigError>((chunk_ref.digest, bytes))
        });
        let read: Vec<_> = stream::iter(reads)
            .buffer_unordered(MAX_CONCURRENT_CALLS)
            .collect()
            .await;
        let mut failed = None;
        for result in read {
            match result {
                Ok((digest, bytes)) => {
                    held.chunks.insert(digest, bytes);
                }
                Err(error) => failed = Some(error),
            }
        }
        if let Some(error) = failed {
            return Err(error);
        }
        Ok(assemble(held, Some(found.stored))?)
    }

    /// Plans the commit of a change without writing anything. `base` is `None` for the first commit.
    pub fn plan(
        &self,
        base: Option<&LoadedConfig>,
        change: &Change,
        author: &Name,
    ) -> std::result::Result<Plan, CommitError> {
        let empty = Config::default();
        let before = base.map_or(&empty, |b| &b.config);
        let config = change.apply(before).map_err(CommitError::Invalid)?;
        let faults = check(&config);
        if !faults.is_empty() {
            return Err(CommitError::Invalid(faults));
        }
        let root = base.map(|b| b.root.as_ref());
        Plan::new(root, config, change, self.signature(author))
            .map_err(|error| CommitError::NotCommitted(error.into()))
    }

    /// Commits a change on top of `base`, which is `None` for the first commit.
    ///
    /// On success the whole change is durable in the store. After [`CommitError::Unknown`] the outcome
    /// is unknown; every other error guarantees that the change has not taken effect and will not.
    pub async fn commit(
        &self,
        base: Option<&LoadedConfig>,
        change: &Change,
        author: &Name,
    ) -> std::result::Result<Committed, CommitError> {
        let condition = condition(base)?;
        let plan = self.plan(base, change, author)?;
        self.write_chunks(&plan)
            .await
            .map_err(|error| CommitError::NotCommitted(error.into()))?;
        let stored = self.replace_root(base, &plan, condition).await?;
        Ok(committed(plan, stored))
    }

    fn signature(&self, author: &Name) -> CommitInfo {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        CommitInfo {
            writer: WriterId(fastrand::u128(..)),
            author: author.clone(),
            at: now.map_or(0, |d| d.as_secs()),
            floor: self.floor,
        }
    }

    async fn write_chunks(&self, plan: &Plan) -> std::result::Result<(), PlatformError> {
        stream::iter(plan.chunks.iter().map(|c| self.write_chunk(c)))
            .buffer_unordered(MAX_CONCURRENT_CALLS)
            .try_collect()
            .await
    }

    // The key contains the digest, so an existing chunk has the right content, and a write whose
    // response was lost can be retried.
    async fn write_chunk(&self, chunk: &PlannedChunk) -> std::result::Result<(), PlatformError> {
        let key = chunk.chunk_ref.key();
        let mut retries = Retries::new(self);
        loop {
            let bytes = chunk.bytes.clone();
            match self.platform.write(&key, bytes, Condition::Absent).await {
                Ok(_) | Err(PlatformError::Conflict { .. }) => return Ok(()),
                Err(error @ PlatformError::TooLarge(_)) => return Err(error),
                Err(error) => retries.wait(error).await?,
            }
        }
    }

    // Replaces the root, and returns its version in the store if it is still the newest.
    //
    // The response can be lost before or after the write took effect. If it were then taken for a
    // failure, an operator could repeat a change that is in force; if for a success, the change could
    // be missing. The history of the root lists the latest writers, so reading it shows the outcome.
    // While the root is unchanged, the same conditional write is retried, which takes effect at most
    // once.
    async fn replace_root(
        &self,
        base: Option<&LoadedConfig>,
        plan: &Plan,
        condition: Condition,
    ) -> std::result::Result<Option<Version>, CommitError> {
        let mut retries = Retries::new(self);
        let mut outcome_unknown = false;
        loop {
            let bytes = plan.parts.root.clone();
            let cause = match self.platform.write(ROOT_KEY, bytes, condition).await {
                Ok(stored) => return Ok(Some(stored)),
                Err(error) => error,
            };
            // Once a response was lost, a rejection of a later attempt does not show that the first failed.
            outcome_unknown |= !matches!(
                cause,
                PlatformError::Refused(_) | PlatformError::TooLarge(_)
            );
            if outcome_unknown && let Some(outcome) = self.find_outcome(base, plan, condition).await
            {
                return outcome;
            }
            if let Err(cause) = retries.wait(cause).await {
                return Err(commit_error(plan, cause, outcome_unknown));
            }
        }
    }

    // Reads the root to find out whether the plan was committed; `None` if it does not show that yet.
    async fn find_outcome(
        &self,
        base: Option<&LoadedConfig>,
        plan: &Plan,
        condition: Condition,
    ) -> Option<std::result::Result<Option<Version>, CommitError>> {
        let found = self.root().await.ok()??;
        if found.root.commit_by(plan.writer()).is_some() {
            // If another commit has followed, its store version must not be returned for ours: a commit
            // based on ours would then overwrite it.
            let newest = found.root.last().writer == plan.writer();
            return Some(Ok(newest.then_some(found.stored)));
        }
        if Condition::At(found.stored) == condition {
            return None;
        }
        // Older commits are dropped from the history, possibly ours too, unless it still contains the
        // commit of the base.
        let history_complete = match base {
            Some(base) => found.root.commit_by(base.root.last().writer).is_some(),
            None => found.root.history.len() < MAX_HISTORY,
        };
        let won = Box::new(found.root.last().clone());
        history_complete.then_some(Err(CommitError::LostRace { won }))
    }

    /// Garbage collects chunks that no reader or writer needs, and returns the number deleted.
    ///
    /// `now` is in seconds since the Unix epoch. A chunk is deleted if the root does not reference it,
    /// it was not retired within the last ten minutes, and it was not written for a version above that
    /// of the root: such a chunk may belong to a commit in progress.
    pub async fn collect(&self, now: u64) -> Result<usize> {
        let Some(found) = self.root().await? else {
            return Ok(0);
        };
        let needed = needed_chunks(&found.root, now);
        let mut after = String::new();
        let mut count = 0;
        loop {
            let keys = self.platform.list(CHUNK_PREFIX, &after).await?;
            let Some(last) = keys.last() else {
                return Ok(count);
            };
            after = last.clone();
            for key in keys {
                let garbage = ChunkRef::from_key(&key)
                    .is_some_and(|c| c.since <= found.root.version && !needed.contains(&c));
                if garbage && self.delete_chunk(&key).await? {
                    count += 1;
                }
            }
        }
    }

    async fn delete_chunk(&self, key: &str) -> Result<bool> {
        let Some(object) = self.platform.read(key).await? else {
            return Ok(false);
        };
        match self.platform.delete(key, object.version).await {
            Ok(()) => Ok(true),
            Err(PlatformError::Conflict { .. }) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }
}

impl StoredRoot {
    fn new(object: Object) -> Result<Self> {
        Ok(StoredRoot {
            root: Root::decode(&object.value)?,
            digest: root_digest(&object.value),
            bytes: object.value,
            stored: object.version,
        })
    }
}

fn condition(base: Option<&LoadedConfig>) -> std::result::Result<Condition, CommitError> {
    match base.map(|b| b.stored) {
        None => Ok(Condition::Absent),
        Some(Some(stored)) => Ok(Condition::At(stored)),
        Some(None) => Err(CommitError::NotFromStore),
    }
}

fn commit_error(plan: &Plan, cause: PlatformError, outcome_unknown: bool) -> CommitError {
    if !outcome_unknown {
        return CommitError::NotCommitted(cause.into());
    }
    CommitError::Unknown {
        version: plan.root.version,
        writer: plan.writer(),
        cause,
    }
}

fn committed(plan: Plan, stored: Option<Version>) -> Committed {
    Committed {
        writer: plan.writer(),
        chunks: plan.chunks.len(),
        bytes: plan.bytes(),
        loaded: LoadedConfig {
            version: plan.root.version,
            digest: root_digest(&plan.parts.root),
            config: Arc::new(plan.config),
            root: Arc::new(plan.root),
            parts: Arc::new(plan.parts),
            stored,
        },
    }
}

// The remaining attempts of a call, with exponential backoff between them.
struct Retries {
    attempts_left: u32,
    backoff: Duration,
}

impl Retries {
    fn new(store: &ConfigStore) -> Self {
        Retries {
            attempts_left: store.tries,
            backoff: store.pause,
        }
    }

    // Waits before the next attempt, or returns the error after the last one.
    async fn wait(&mut self, error: PlatformError) -> std::result::Result<(), PlatformError> {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        if self.attempts_left == 0 {
            return Err(error);
        }
        if !self.backoff.is_zero() {
            let jitter = fastrand::u32(500..=1_000);
            tokio::time::sleep(self.backoff * jitter / 1_000).await;
        }
        self.backoff *= 2;
        Ok(())
    }
}
