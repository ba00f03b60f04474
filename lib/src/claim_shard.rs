//! Decides what one process writes for one shard of keyed calls.
//!
//! Load pattern: many keyed calls at once before a store that takes some hundreds of writes a second
//! for everyone, loses answers, and has outages. With a write for each call the store is full at 300
//! calls a second. Here all claims that wait go into one conditional update of the shard's head. The
//! condition is the fence: a process that did not see the newest head cannot write, whoever it is and
//! whatever it believes, so safety needs neither an owner nor a lease nor a clock.
//!
//! A call may run only after its own claim was seen to stand in the store. Nothing here does I/O: the
//! driver asks for an [`Intent`], carries it out, and hands back what came of it. A claim takes O(1);
//! a commit O(entries in the head).

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use crate::claim_commit::Change;
use crate::claim_commit::Draft;
use crate::claim_commit::Update;
use crate::claim_flight::Commit;
use crate::claim_flight::Flight;
use crate::claim_flight::Local;
use crate::claim_flight::Waiter;
use crate::claim_flight::take_claims;
use crate::claim_intent::Answer;
use crate::claim_intent::ClaimSettings;
use crate::claim_intent::Intent;
use crate::claim_intent::Reply;
use crate::claim_intent::ShardCounts;
use crate::claim_intent::Verdict;
use crate::claim_intent::WaiterId;
use crate::claim_log::ClaimState;
use crate::claim_log::Head;
use crate::claim_log::KeyDigest;
use crate::claim_log::RecordedAnswer;
use crate::claim_log::RunId;
use crate::claim_retry::Retry;
use crate::claim_view::Found;
use crate::claim_view::View;
use crate::ids::Name;
use crate::ids::Version;
use crate::platform::Condition;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::time::Time;

// Results wait this long for a claim to travel with. Until they are written, a resend to another
// process is answered "unknown" if this one dies; twice the usual pause between claims of a busy
// shard is enough to halve the writes.
const RESULT_LINGER: Duration = Duration::from_millis(100);

/// One process's view of one shard.
pub struct ClaimShard {
    settings: ClaimSettings,
    writer: Name,
    view: View,
    wanted: Option<Version>,
    // The head at this version stands in a segment too.
    rolled: Option<Version>,
    local: HashMap<KeyDigest, Local>,
    // Runs that were given up while their claims may stand; each has a release in `changes`.
    given_up: HashSet<RunId>,
    waiting: VecDeque<Waiter>,
    changes: Vec<Change>,
    changed: Option<Time>,
    garbage: Vec<Version>,
    flight: Option<Flight>,
    retry: Retry,
    last_commit: Option<Time>,
    replies: Vec<Reply>,
    counts: ShardCounts,
}

impl ClaimShard {
    /// A view that knows nothing yet, of the process `writer`.
    pub fn new(settings: ClaimSettings, writer: Name) -> Self {
        ClaimShard {
            settings,
            writer,
            view: View::default(),
            wanted: None,
            rolled: None,
            local: HashMap::new(),
            given_up: HashSet::new(),
            waiting: VecDeque::new(),
            changes: Vec::new(),
            changed: None,
            garbage: Vec::new(),
            flight: None,
            retry: Retry::default(),
            last_commit: None,
            replies: Vec::new(),
            counts: ShardCounts::default(),
        }
    }

    /// What the shard has met so far.
    pub fn counts(&self) -> ShardCounts {
        self.counts
    }

    /// Asks for the right to run a keyed call.
    pub fn claim(&mut self, now: Time, id: WaiterId, key: KeyDigest, rng: &mut fastrand::Rng) {
        let verdict = match self.local.get(&key) {
            Some(Local::Running(_)) => Some(Verdict::Running),
            Some(Local::Answered(answer)) => Some(Verdict::Done(answer.clone())),
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
            cleared: None,
        });
    }

    /// Records the answer of a call that ran. The reply to `waiter` comes when it stands in the store.
    pub fn settle(
        &mut self,
        now: Time,
        waiter: WaiterId,
        key: KeyDigest,
        run: RunId,
        answer: RecordedAnswer,
    ) {
        self.local.insert(key, Local::Answered(answer.clone()));
        self.change(now, key, run, Update::Done(answer), Some(waiter));
    }

    /// Gives a claim back whose call is proven not to have run.
    pub fn release(&mut self, now: Time, waiter: WaiterId, key: KeyDigest, run: RunId) {
        self.local.remove(&key);
        self.given_up.insert(run);
        self.change(now, key, run, Update::Release, Some(waiter));
    }

    /// Forgets a call whose runner went away without a word. It may have run.
    pub fn lose(&mut self, key: KeyDigest, run: RunId) {
        if matches!(self.local.get(&key), Some(Local::Running(held)) if *held == run) {
            self.local.remove(&key);
        }
    }

    /// The verdicts since the last call.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        mem::take(&mut self.replies)
    }

    /// When [`ClaimShard::poll`] has something to do, unless something arrives before.
    pub fn wakes(&self) -> Option<Time> {
        if self.flight.is_some() {
            return None;
        }
        if !self.waiting.is_empty() {
            return Some(self.retry.not_before().max(self.gap_over()));
        }
        let linger = self.changed? + RESULT_LINGER;
        Some(linger.max(self.retry.not_before()).max(self.gap_over()))
    }

    /// The call to make now, if any. `unix_ms` is the time of day.
    pub fn poll(&mut self, now: Time, unix_ms: u64) -> Option<Intent> {
        if self.flight.is_some() || now < self.retry.not_before() {
            return None;
        }
        self.view.forget(unix_ms, self.settings.window);
        let due = |since| now >= since + RESULT_LINGER;
        let changes_due = self.changed.is_some_and(due);
        if self.waiting.is_empty() && !changes_due {
            return self.collect_garbage();
        }
        if let Some(intent) = self.load() {
            return Some(intent);
        }
        if self.waiting.iter().any(|waiter| self.needs_reread(waiter)) {
            return Some(self.fly(Flight::Head, Intent::ReadHead));
        }
        self.answer_known();
        if let Some(version) = self.wanted {
            return Some(self.fly(Flight::Segment(version), Intent::ReadSegment(version)));
        }
        let idle = self.waiting.is_empty() && !changes_due;
        if idle || now < self.gap_over() {
            return None;
        }
        self.write(now, unix_ms)
    }

    /// Takes in what came of the intent.
    pub fn done(&mut self, now: Time, answer: Answer, rng: &mut fastrand::Rng) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        let lost = matches!(answer, Answer::Failed(PlatformError::Unknown(_)));
        self.counts.lost_answers += u64::from(lost);
        match (flight, answer) {
            (Flight::Head, Answer::Found(object)) => self.head_read(now, object),
            (Flight::Segment(version), Answer::Found(object)) => {
                self.segment_read(now, version, object, rng);
            }
            (Flight::Roll, Answer::Written(_))
            | (Flight::Roll, Answer::Failed(PlatformError::Conflict { .. })) => {
                self.rolled = self.view.version();
                self.retry.read_succeeded();
            }
            (Flight::Write(commit), Answer::Written(version)) => self.committed(*commit, version),
            (Flight::Write(commit), Answer::Failed(error)) => {
                self.write_failed(now, *commit, &error, rng);
            }
            (Flight::Delete, _) => {}
            _ => self.call_failed(now, rng),
        }
    }

    fn reply(&mut self, waiter: WaiterId, verdict: Verdict) {
        self.replies.push(Reply { waiter, verdict });
    }

    fn fly(&mut self, flight: Flight, intent: Intent) -> Intent {
        self.flight = Some(flight);
        intent
    }

    fn change(
        &mut self,
        now: Time,
        key: KeyDigest,
        run: RunId,
        update: Update,
        waiter: Option<WaiterId>,
    ) {
        self.changed.get_or_insert(now);
        self.changes.push(Change {
            key,
            run,
            update,
            waiter,
        });
    }

    fn gap_over(&self) -> Time {
        match self.last_commit {
            Some(last) => last + self.settings.commit_gap,
            None => Time::ZERO,
        }
    }

    fn collect_garbage(&mut self) -> Option<Intent> {
        let version = self.garbage.pop()?;
        Some(self.fly(Flight::Delete, Intent::DeleteSegment(version)))
    }

    // The next read without which nothing can be decided.
    fn load(&mut self) -> Option<Intent> {
        if self.view.loaded.is_none() {
            return Some(self.fly(Flight::Head, Intent::ReadHead));
        }
        let missing = self.view.missing()?;
        Some(self.fly(Flight::Segment(missing), Intent::ReadSegment(missing)))
    }

    // Answers all who can be answered without a further call; the others stay, in order.
    fn answer_known(&mut self) {
        self.wanted = None;
        let waiting = mem::take(&mut self.waiting);
        for mut waiter in waiting {
            match self.known(&mut waiter) {
                Some(verdict) => self.reply(waiter.id, verdict),
                None => self.waiting.push_back(waiter),
            }
        }
    }

    fn known(&mut self, waiter: &mut Waiter) -> Option<Verdict> {
        match self.local.get(&waiter.key) {
            Some(Local::Running(_)) => return Some(Verdict::Running),
            Some(Local::Answered(answer)) => return Some(Verdict::Done(answer.clone())),
            None => {}
        }
        let entry = match self.view.lookup(waiter.key) {
            Found::Free => return None,
            Found::Entry(entry) => entry,
            Found::In(place) if waiter.cleared == Some(place.segment) => return None,
            Found::In(place) => {
                self.wanted.get_or_insert(place.segment);
                return None;
            }
        };
        // Else two who wait for different segments would have them read in turns for ever.
        waiter.cleared = self.view.place(waiter.key).map(|place| place.segment);
        match entry.state {
            ClaimState::Done(answer) => Some(Verdict::Done(answer)),
            ClaimState::Released => None,
            // A write whose answer was lost did take effect.
            ClaimState::Claimed if entry.run == waiter.run => {
                self.local.insert(waiter.key, Local::Running(waiter.run));
                Some(Verdict::Run(waiter.run))
            }
            // This process alone could have run it, and has given it up.
            ClaimState::Claimed if self.given_up.contains(&entry.run) => None,
            ClaimState::Claimed => Some(Verdict::Unsettled(entry.writer)),
        }
    }

    // Whether another process's claim is in the way, as far as an old head says.
    fn needs_reread(&self, waiter: &Waiter) -> bool {
        let open = self.view.open_run(waiter.key);
        let in_way = open.is_some_and(|run| !self.given_up.contains(&run));
        in_way && !waiter.fresh && !self.local.contains_key(&waiter.key)
    }

    fn write(&mut self, now: Time, unix_ms: u64) -> Option<Intent> {
        let loaded = self.view.loaded.as_ref()?;
        let bytes = loaded.head.encode();
        if let Some(version) = loaded.version
            && bytes.len() > self.settings.head_bytes
            && self.rolled != Some(version)
        {
            return Some(self.fly(Flight::Roll, Intent::CreateSegment(version, bytes)));
        }
        let condition = loaded.version.map_or(Condition::Absent, Condition::At);
        if self.retry.is_write_hopeless() {
            self.fail_waiting(now);
            return None;
        }
        let commit = self.build(unix_ms);
        if commit.claims.is_empty() && commit.changes.is_empty() {
            return None;
        }
        self.last_commit = Some(now);
        let value = commit.head.encode();
        let intent = Intent::WriteHead(value, condition);
        Some(self.fly(Flight::Write(Box::new(commit)), intent))
    }

    // The next head. Takes the claims and changes that it holds out of the queues.
    fn build(&mut self, unix_ms: u64) -> Commit {
        let claims = take_claims(&mut self.waiting);
        let changes = mem::take(&mut self.changes);
        self.changed = None;
        let mut draft = Draft::new(&self.view, &self.writer, unix_ms, self.rolled);
        for change in &changes {
            draft.apply(change);
        }
        for waiter in &claims {
            draft.claim(waiter.key, waiter.run);
        }
        let (head, dropped) = draft.finish();
        Commit {
            head,
            claims,
            changes,
            dropped,
        }
    }

    fn committed(&mut self, commit: Commit, version: Version) {
        self.counts.commits += 1;
        self.retry.write_succeeded();
        self.garbage.extend(commit.dropped);
        let rolled = self.rolled.take();
        self.view.replace(version, commit.head, rolled);
        self.refreshed();
        for change in commit.changes {
            self.given_up.remove(&change.run);
            if matches!(change.update, Update::Done(_)) {
                self.local.remove(&change.key);
            }
            if let Some(waiter) = change.waiter {
                self.reply(waiter, Verdict::Run(change.run));
            }
        }
        for waiter in commit.claims {
            self.local.insert(waiter.key, Local::Running(waiter.run));
            self.reply(waiter.id, Verdict::Run(waiter.run));
        }
    }

    fn refreshed(&mut self) {
        for waiter in &mut self.waiting {
            waiter.fresh = true;
        }
    }

    fn head_read(&mut self, now: Time, object: Option<Object>) {
        let version = object.as_ref().map(|object| object.version);
        if self.view.is_regression(version) {
            // Claims that were made since are not in this head: to go on would run calls twice.
            self.counts.regressions += 1;
            self.fail_waiting(now);
            return;
        }
        let head = match &object {
            Some(object) => Head::decode(&object.value),
            None => Ok(Head::default()),
        };
        let Ok(head) = head else {
            self.counts.malformed += 1;
            self.fail_waiting(now);
            return;
        };
        if self.rolled != version {
            self.rolled = None;
        }
        self.retry.read_succeeded();
        self.view.adopt(version, head);
        self.refreshed();
    }

    fn segment_read(
        &mut self,
        now: Time,
        version: Version,
        object: Option<Object>,
        rng: &mut fastrand::Rng,
    ) {
        let segment = object.map(|object| Head::decode(&object.value));
        let Some(Ok(segment)) = segment else {
            // Another process may have dropped it: the head tells. If not, it is damage.
            self.counts.malformed += 1;
            self.view.loaded = None;
            self.call_failed(now, rng);
            return;
        };
        self.retry.read_succeeded();
        self.view.segment_read(version, segment);
    }

    fn write_failed(
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
            self.changed.get_or_insert(now);
        }
        match error {
            PlatformError::Conflict { .. } => {
                self.counts.conflicts += 1;
                self.view.loaded = None;
                // Two processes that lose to each other in step would go on to do so.
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

    fn call_failed(&mut self, now: Time, rng: &mut fastrand::Rng) {
        if self.retry.read_failed(now, rng) {
            self.fail_waiting(now);
        }
    }

    // Refuses all who wait. None of them has run: only a reply of `Run` lets a call run.
    fn fail_waiting(&mut self, now: Time) {
        self.retry.begin_outage(now);
        for waiter in mem::take(&mut self.waiting) {
            if waiter.maybe_written {
                // The claim may stand and would answer every resend with "unknown". This process
                // alone knows that it never ran, so it takes the claim back once the store answers.
                self.given_up.insert(waiter.run);
                self.change(now, waiter.key, waiter.run, Update::Release, None);
            }
            self.reply(waiter.id, Verdict::Unavailable);
        }
        // The results themselves stay, to be written once the store answers.
        let told = self.changes.iter_mut();
        let told: Vec<_> = told.filter_map(|change| change.waiter.take()).collect();
        for waiter in told {
            self.reply(waiter, Verdict::Unavailable);
        }
    }
}
