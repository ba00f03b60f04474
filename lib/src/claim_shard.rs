//! State machine that claims calls with an idempotency key, for one process and one shard.
//!
//! Load pattern: many claims at once against a store that takes a few hundred writes per second in
//! total, loses responses, and has outages. One write per call would saturate the store at 300
//! calls per second, so all waiting claims go into one conditional update of the shard's head. The
//! condition also provides fencing: a process that has not seen the newest head cannot write, so
//! safety depends on neither an owner, nor a lease, nor a clock.
//!
//! A call may run only after its claim has been observed in the store. This module does no I/O: the
//! driver polls for a [`StoreCall`], makes it, and passes its result back. A claim takes O(1), a
//! commit O(entries in the head).

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use crate::claim_commit::Change;
use crate::claim_commit::HeadBuilder;
use crate::claim_commit::Update;
use crate::claim_log::ClaimState;
use crate::claim_log::Head;
use crate::claim_log::KeyDigest;
use crate::claim_log::RecordedResponse;
use crate::claim_log::RunId;
use crate::claim_pending::Commit;
use crate::claim_pending::InFlight;
use crate::claim_pending::LocalCall;
use crate::claim_pending::Waiter;
use crate::claim_pending::take_claims;
use crate::claim_retry::Retry;
use crate::claim_types::CallResult;
use crate::claim_types::ClaimSettings;
use crate::claim_types::Reply;
use crate::claim_types::ShardCounts;
use crate::claim_types::StoreCall;
use crate::claim_types::Verdict;
use crate::claim_types::WaiterId;
use crate::claim_view::Lookup;
use crate::claim_view::View;
use crate::ids::Name;
use crate::ids::Version;
use crate::platform::Condition;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::time::Time;

// How long results wait to be written together with a claim. If this process dies before they are
// written, a retry at another process gets "unknown". Twice the usual time between claims of a busy
// shard is enough to halve the number of writes.
const RESULT_LINGER: Duration = Duration::from_millis(100);

/// The claims of one process in one shard.
pub struct ClaimShard {
    settings: ClaimSettings,
    writer: Name,
    view: View,
    wanted_segment: Option<Version>,
    // The head at this version has also been written as a segment.
    sealed_version: Option<Version>,
    local_calls: HashMap<KeyDigest, LocalCall>,
    // Runs whose claims may be in the store although they will never run. Each has a release in
    // `changes`.
    releasing_runs: HashSet<RunId>,
    waiting: VecDeque<Waiter>,
    changes: Vec<Change>,
    changes_since: Option<Time>,
    unreferenced_segments: Vec<Version>,
    in_flight: Option<InFlight>,
    retry: Retry,
    last_commit: Option<Time>,
    replies: Vec<Reply>,
    counts: ShardCounts,
}

impl ClaimShard {
    /// An empty shard of the process `writer`, with nothing loaded from the store.
    pub fn new(settings: ClaimSettings, writer: Name) -> Self {
        ClaimShard {
            settings,
            writer,
            view: View::default(),
            wanted_segment: None,
            sealed_version: None,
            local_calls: HashMap::new(),
            releasing_runs: HashSet::new(),
            waiting: VecDeque::new(),
            changes: Vec::new(),
            changes_since: None,
            unreferenced_segments: Vec::new(),
            in_flight: None,
            retry: Retry::default(),
            last_commit: None,
            replies: Vec::new(),
            counts: ShardCounts::default(),
        }
    }

    /// The event counters.
    pub fn counts(&self) -> ShardCounts {
        self.counts
    }

    /// Requests the right to run a call.
    pub fn claim(&mut self, now: Time, id: WaiterId, key: KeyDigest, rng: &mut fastrand::Rng) {
        let verdict = match self.local_calls.get(&key) {
            Some(LocalCall::Running(_)) => Some(Verdict::Running),
            Some(LocalCall::Completed(response)) => Some(Verdict::Done(response.clone())),
            None if self.retry.is_refusing(now) => Some(Verdict::Unavailable),
            None if self.waiting.len() >= self.settings.max_waiting => Some(Verdict::Full),
            None => None,
        };
        if let Some(verdict) = verdict {
            self.reply(id, verdict);
            return;
        }
        self.waiting.push_back(Waiter {
            id,
            key,
            run: RunId(rng.u64(1..)),
            maybe_written: false,
            fresh: false,
            checked_segment: None,
        });
    }

    /// Records the response of a call that ran. `waiter` gets a reply once it is in the store.
    pub fn settle(
        &mut self,
        now: Time,
        waiter: WaiterId,
        key: KeyDigest,
        run: RunId,
        response: RecordedResponse,
    ) {
        self.local_calls
            .insert(key, LocalCall::Completed(response.clone()));
        self.add_change(now, key, run, Update::Done(response), Some(waiter));
    }

    /// Releases a claim whose call is proven not to have run.
    pub fn release(&mut self, now: Time, waiter: WaiterId, key: KeyDigest, run: RunId) {
        self.local_calls.remove(&key);
        self.releasing_runs.insert(run);
        self.add_change(now, key, run, Update::Release, Some(waiter));
    }

    /// Removes a call whose ticket was dropped without a result. The call may have run.
    pub fn abandon(&mut self, key: KeyDigest, run: RunId) {
        if matches!(self.local_calls.get(&key), Some(LocalCall::Running(held)) if *held == run) {
            self.local_calls.remove(&key);
        }
    }

    /// Takes the replies produced since the last call.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        mem::take(&mut self.replies)
    }

    /// When [`ClaimShard::poll`] is due next, unless a request arrives earlier.
    pub fn next_wake(&self) -> Option<Time> {
        if self.in_flight.is_some() {
            return None;
        }
        if !self.waiting.is_empty() {
            return Some(self.retry.not_before().max(self.next_commit_at()));
        }
        let linger = self.changes_since? + RESULT_LINGER;
        Some(
            linger
                .max(self.retry.not_before())
                .max(self.next_commit_at()),
        )
    }

    /// Returns the store call to make now, if any. `unix_ms` is the wall-clock time.
    pub fn poll(&mut self, now: Time, unix_ms: u64) -> Option<StoreCall> {
        if self.in_flight.is_some() || now < self.retry.not_before() {
            return None;
        }
        self.view.update_expiry(unix_ms, self.settings.window);
        let due = |since| now >= since + RESULT_LINGER;
        let changes_due = self.changes_since.is_some_and(due);
        if self.waiting.is_empty() && !changes_due {
            return self.delete_unreferenced();
        }
        if let Some(call) = self.next_required_read() {
            return Some(call);
        }
        if self.waiting.iter().any(|waiter| self.needs_reread(waiter)) {
            return Some(self.start_call(InFlight::ReadHead, StoreCall::ReadHead));
        }
        self.resolve_waiting();
        if let Some(version) = self.wanted_segment {
            return Some(self.start_call(
                InFlight::ReadSegment(version),
                StoreCall::ReadSegment(version),
            ));
        }
        let nothing_due = self.waiting.is_empty() && !changes_due;
        if nothing_due || now < self.next_commit_at() {
            return None;
        }
        self.write_head(now, unix_ms)
    }

    /// Handles the result of the store call in flight.
    pub fn complete_call(&mut self, now: Time, result: CallResult, rng: &mut fastrand::Rng) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        let lost = matches!(result, CallResult::Failed(PlatformError::Unknown(_)));
        self.counts.lost_answers += u64::from(lost);
        match (in_flight, result) {
            (InFlight::ReadHead, CallResult::Found(object)) => self.on_head_read(now, object),
            (InFlight::ReadSegment(version), CallResult::Found(object)) => {
                self.on_segment_read(now, version, object, rng);
            }
            (InFlight::SealHead, CallResult::Written(_))
            | (InFlight::SealHead, CallResult::Failed(PlatformError::Conflict { .. })) => {
                self.sealed_version = self.view.version();
                self.retry.read_succeeded();
            }
            (InFlight::Commit(commit), CallResult::Written(version)) => {
                self.on_committed(*commit, version)
            }
            (InFlight::Commit(commit), CallResult::Failed(error)) => {
                self.on_write_failed(now, *commit, &error, rng);
            }
            (InFlight::DeleteSegment, _) => {}
            _ => self.on_call_failed(now, rng),
        }
    }

    fn reply(&mut self, waiter: WaiterId, verdict: Verdict) {
        self.replies.push(Reply { waiter, verdict });
    }

    fn start_call(&mut self, in_flight: InFlight, call: StoreCall) -> StoreCall {
        self.in_flight = Some(in_flight);
        call
    }

    fn add_change(
        &mut self,
        now: Time,
        key: KeyDigest,
        run: RunId,
        update: Update,
        waiter: Option<WaiterId>,
    ) {
        self.changes_since.get_or_insert(now);
        self.changes.push(Change {
            key,
            run,
            update,
            waiter,
        });
    }

    fn next_commit_at(&self) -> Time {
        match self.last_commit {
            Some(last) => last + self.settings.commit_gap,
            None => Time::ZERO,
        }
    }

    fn delete_unreferenced(&mut self) -> Option<StoreCall> {
        let version = self.unreferenced_segments.pop()?;
        Some(self.start_call(InFlight::DeleteSegment, StoreCall::DeleteSegment(version)))
    }

    // The next read that is needed before any claim can be decided.
    fn next_required_read(&mut self) -> Option<StoreCall> {
        if self.view.loaded.is_none() {
            return Some(self.start_call(InFlight::ReadHead, StoreCall::ReadHead));
        }
        let missing = self.view.unindexed_segment()?;
        Some(self.start_call(
            InFlight::ReadSegment(missing),
            StoreCall::ReadSegment(missing),
        ))
    }

    // Replies to all waiting claims that can be decided without a further store call. The others
    // stay queued, in order.
    fn resolve_waiting(&mut self) {
        self.wanted_segment = None;
        let waiting = mem::take(&mut self.waiting);
        for mut waiter in waiting {
            match self.resolve(&mut waiter) {
                Some(verdict) => self.reply(waiter.id, verdict),
                None => self.waiting.push_back(waiter),
            }
        }
    }

    fn resolve(&mut self, waiter: &mut Waiter) -> Option<Verdict> {
        match self.local_calls.get(&waiter.key) {
            Some(LocalCall::Running(_)) => return Some(Verdict::Running),
            Some(LocalCall::Completed(response)) => return Some(Verdict::Done(response.clone())),
            None => {}
        }
        let entry = match self.view.lookup(waiter.key) {
            Lookup::Absent => return None,
            Lookup::Entry(entry) => entry,
            Lookup::InSegment(indexed) if waiter.checked_segment == Some(indexed.segment) => {
                return None;
            }
            Lookup::InSegment(indexed) => {
                self.wanted_segment.get_or_insert(indexed.segment);
                return None;
            }
        };
        // Only one segment is cached at a time, so without this mark two claims that need different
        // segments would make them be read alternately forever.
        waiter.checked_segment = self
            .view
            .index_entry(waiter.key)
            .map(|indexed| indexed.segment);
        match entry.state {
            ClaimState::Done(response) => Some(Verdict::Done(response)),
            ClaimState::Released => None,
            // A write whose response was lost did take effect.
            ClaimState::Claimed if entry.run == waiter.run => {
                self.local_calls
                    .insert(waiter.key, LocalCall::Running(waiter.run));
                Some(Verdict::Run(waiter.run))
            }
            // Only this process could have run the call, and it is releasing the claim.
            ClaimState::Claimed if self.releasing_runs.contains(&entry.run) => None,
            ClaimState::Claimed => Some(Verdict::Unsettled(entry.writer)),
        }
    }

    // Whether a claim is blocked by another process's claim in a head that was read before it
    // arrived.
    fn needs_reread(&self, waiter: &Waiter) -> bool {
        let open_run = self.view.open_run(waiter.key);
        let blocks = open_run.is_some_and(|run| !self.releasing_runs.contains(&run));
        blocks && !waiter.fresh && !self.local_calls.contains_key(&waiter.key)
    }

    fn write_head(&mut self, now: Time, unix_ms: u64) -> Option<StoreCall> {
        let loaded = self.view.loaded.as_ref()?;
        let bytes = loaded.head.encode();
        if let Some(version) = loaded.version
            && bytes.len() > self.settings.head_bytes
            && self.sealed_version != Some(version)
        {
            return Some(
                self.start_call(InFlight::SealHead, StoreCall::CreateSegment(version, bytes)),
            );
        }
        let condition = loaded.version.map_or(Condition::Absent, Condition::At);
        if self.retry.is_write_exhausted() {
            self.refuse_waiting(now);
            return None;
        }
        let commit = self.build_commit(unix_ms);
        if commit.claims.is_empty() && commit.changes.is_empty() {
            return None;
        }
        self.last_commit = Some(now);
        let value = commit.head.encode();
        let call = StoreCall::WriteHead(value, condition);
        Some(self.start_call(InFlight::Commit(Box::new(commit)), call))
    }

    // Builds the next head, and removes the claims and changes that it contains from the queues.
    fn build_commit(&mut self, unix_ms: u64) -> Commit {
        let claims = take_claims(&mut self.waiting);
        let changes = mem::take(&mut self.changes);
        self.changes_since = None;
        let mut builder = HeadBuilder::new(&self.view, &self.writer, unix_ms, self.sealed_version);
        for change in &changes {
            builder.apply(change);
        }
        for waiter in &claims {
            builder.claim(waiter.key, waiter.run);
        }
        let (head, removed_segments) = builder.finish();
        Commit {
            head,
            claims,
            changes,
            removed_segments,
        }
    }

    fn on_committed(&mut self, commit: Commit, version: Version) {
        self.counts.commits += 1;
        self.retry.write_succeeded();
        self.unreferenced_segments.extend(commit.removed_segments);
        let sealed_version = self.sealed_version.take();
        self.view
            .set_committed_head(version, commit.head, sealed_version);
        self.mark_waiting_fresh();
        for change in commit.changes {
            self.releasing_runs.remove(&change.run);
            if matches!(change.update, Update::Done(_)) {
                self.local_calls.remove(&change.key);
            }
            if let Some(waiter) = change.waiter {
                self.reply(waiter, Verdict::Run(change.run));
            }
        }
        for waiter in commit.claims {
            self.local_calls
                .insert(waiter.key, LocalCall::Running(waiter.run));
            self.reply(waiter.id, Verdict::Run(waiter.run));
        }
    }

    fn mark_waiting_fresh(&mut self) {
        for waiter in &mut self.waiting {
            waiter.fresh = true;
        }
    }

    fn on_head_read(&mut self, now: Time, object: Option<Object>) {
        let version = object.as_ref().map(|object| object.version);
        if self.view.is_regression(version) {
            // Claims made since the rollback point are missing from this head, so using it could
            // run calls twice.
            self.counts.regressions += 1;
            self.refuse_waiting(now);
            return;
        }
        let head = match &object {
            Some(object) => Head::decode(&object.value),
            None => Ok(Head::default()),
        };
        let Ok(head) = head else {
            self.counts.malformed += 1;
            self.refuse_waiting(now);
            return;
        };
        if self.sealed_version != version {
            self.sealed_version = None;
        }
        self.retry.read_succeeded();
        self.view.set_head(version, head);
        self.mark_waiting_fresh();
    }

    fn on_segment_read(
        &mut self,
        now: Time,
        version: Version,
        object: Option<Object>,
        rng: &mut fastrand::Rng,
    ) {
        let segment = object.map(|object| Head::decode(&object.value));
        let Some(Ok(segment)) = segment else {
            // Another process may have deleted the segment; rereading the head shows whether it
            // did. If the head still references it, the store is damaged.
            self.counts.malformed += 1;
            self.view.loaded = None;
            self.on_call_failed(now, rng);
            return;
        };
        self.retry.read_succeeded();
        self.view.add_segment(version, segment);
    }

    fn on_write_failed(
        &mut self,
        now: Time,
        commit: Commit,
        error: &PlatformError,
        rng: &mut fastrand::Rng,
    ) {
        let lost = matches!(error, PlatformError::Unknown(_));
        for mut waiter in commit.claims.into_iter().rev() {
            waiter.maybe_written |= lost;
            self.waiting.push_front(waiter);
        }
        let later = mem::replace(&mut self.changes, commit.changes);
        self.changes.extend(later);
        if !self.changes.is_empty() {
            self.changes_since.get_or_insert(now);
        }
        match error {
            PlatformError::Conflict { .. } => {
                self.counts.conflicts += 1;
                self.view.loaded = None;
                // The random pause keeps two processes from conflicting with each other repeatedly
                // in lockstep.
                self.retry.pause(now, rng.f64());
            }
            PlatformError::Unknown(_) => {
                self.view.loaded = None;
                self.retry.write_failed();
            }
            PlatformError::Refused(_) | PlatformError::TooLarge(_) => {
                self.retry.write_failed();
                self.retry.pause(now, 0.5 + rng.f64());
            }
        }
    }

    fn on_call_failed(&mut self, now: Time, rng: &mut fastrand::Rng) {
        if self.retry.read_failed(now, rng) {
            self.refuse_waiting(now);
        }
    }

    // Refuses all waiting claims. None of their calls has run: only a reply of `Run` permits that.
    fn refuse_waiting(&mut self, now: Time) {
        self.retry.begin_outage(now);
        for waiter in mem::take(&mut self.waiting) {
            if waiter.maybe_written {
                // The claim may be in the store, where it would make every retry get "unknown".
                // Only this process knows that the call never ran, so it releases the claim once
                // the store responds again.
                self.releasing_runs.insert(waiter.run);
                self.add_change(now, waiter.key, waiter.run, Update::Release, None);
            }
            self.reply(waiter.id, Verdict::Unavailable);
        }
        // The results themselves stay queued, to be written once the store responds again.
        let unanswered = self.changes.iter_mut();
        let unanswered: Vec<_> = unanswered
            .filter_map(|change| change.waiter.take())
            .collect();
        for waiter in unanswered {
            self.reply(waiter, Verdict::Unavailable);
        }
    }
}
