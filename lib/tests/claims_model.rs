//! Model test of at-most-once execution under interleaved retries, crashes, pauses, delayed
//! writes and lost responses.
//!
//! Three processes claim the same few keys of one shard. The store loses responses, and a write may
//! take effect long after its sender gave up on it. A process that holds a ticket may run the call
//! at any later time, or crash before or after running it. The test fails if a key is executed
//! twice, or if a call runs although its claim was refused.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::claim_log::Head;
use cicada_lib::claim_log::KeyDigest;
use cicada_lib::claim_log::RecordedResponse;
use cicada_lib::claim_log::RunId;
use cicada_lib::claim_shard::ClaimShard;
use cicada_lib::claim_types::CallResult;
use cicada_lib::claim_types::ClaimSettings;
use cicada_lib::claim_types::StoreCall;
use cicada_lib::claim_types::Verdict;
use cicada_lib::claim_types::WaiterId;
use cicada_lib::ids::Name;
use cicada_lib::ids::Version;
use cicada_lib::platform::Condition;
use cicada_lib::platform::Object;
use cicada_lib::platform::PlatformError;
use cicada_lib::time::Time;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const AGENTS: usize = 3;
const KEYS: u8 = 6;
const STEPS: usize = 1_500;

#[derive(Default)]
struct Store {
    head: Option<Object>,
    segments: BTreeMap<Version, Bytes>,
}

impl Store {
    fn apply(&mut self, call: &StoreCall) -> CallResult {
        match call {
            StoreCall::ReadHead => CallResult::Found(self.head.clone()),
            StoreCall::ReadSegment(version) => {
                let found = self.segments.get(version).map(|value| Object {
                    version: Version(1),
                    value: value.clone(),
                });
                CallResult::Found(found)
            }
            StoreCall::CreateSegment(version, value) => {
                if self.segments.contains_key(version) {
                    let found = Some(Version(1));
                    return CallResult::Failed(PlatformError::Conflict { found });
                }
                self.segments.insert(*version, value.clone());
                CallResult::Written(Version(1))
            }
            StoreCall::WriteHead(value, condition) => self.write(value, *condition),
            StoreCall::DeleteSegment(version) => {
                self.segments.remove(version);
                CallResult::Deleted
            }
        }
    }

    fn write(&mut self, value: &Bytes, condition: Condition) -> CallResult {
        let found = self.head.as_ref().map(|object| object.version);
        let holds = match condition {
            Condition::Absent => found.is_none(),
            Condition::At(version) => found == Some(version),
        };
        if !holds {
            return CallResult::Failed(PlatformError::Conflict { found });
        }
        let version = Version(found.unwrap_or_default().0 + 1);
        let value = value.clone();
        self.head = Some(Object { version, value });
        CallResult::Written(version)
    }
}

struct Ticket {
    key: u8,
    waiter: WaiterId,
    run: RunId,
    started: bool,
}

struct Agent {
    shard: ClaimShard,
    call: Option<(StoreCall, Option<CallResult>)>,
    pending: HashMap<WaiterId, u8>,
    tickets: Vec<Ticket>,
    // How many of the next responses are lost.
    responses_to_lose: u32,
}

struct Model {
    store: Store,
    // Small enough for only one or a few entries, so that heads are sealed frequently.
    head_bytes: usize,
    // The percentage of drawn faults that are injected. If all of them are, faults follow each
    // other without a pause and no claim gets old.
    faults: u32,
    // Writes that their senders have given up on. They may take effect at any time.
    delayed: Vec<StoreCall>,
    agents: Vec<Agent>,
    now: Time,
    next: WaiterId,
    rng: fastrand::Rng,
    effects: HashMap<u8, u32>,
    refused: Vec<WaiterId>,
    ran: Vec<WaiterId>,
}

fn digest(key: u8) -> KeyDigest {
    KeyDigest::new(&Name::new("chapel"), &format!("deposit {key}"))
}

fn agent(number: usize, head_bytes: usize) -> Agent {
    let settings = ClaimSettings {
        head_bytes,
        commit_gap: Duration::from_millis(5),
        ..ClaimSettings::default()
    };
    Agent {
        shard: ClaimShard::new(settings, Name::new(format!("agent {number}"))),
        call: None,
        pending: HashMap::new(),
        tickets: Vec::new(),
        responses_to_lose: 0,
    }
}

impl Model {
    fn new(seed: u64) -> Self {
        let head_bytes = [30, 60, 120][(seed % 3) as usize];
        Model {
            store: Store::default(),
            head_bytes,
            faults: [100, 10][(seed / 3 % 2) as usize],
            delayed: Vec::new(),
            agents: (0..AGENTS).map(|n| agent(n, head_bytes)).collect(),
            now: Time::from_millis(1_000),
            next: 0,
            rng: fastrand::Rng::with_seed(seed),
            effects: HashMap::new(),
            refused: Vec::new(),
            ran: Vec::new(),
        }
    }

    fn step(&mut self) {
        let index = self.rng.usize(..AGENTS);
        let draw = self.rng.u8(..100);
        let fault = matches!(draw, 70..77 | 93..96);
        if fault && self.rng.u32(..100) >= self.faults {
            return;
        }
        match draw {
            0..12 => self.claim(index),
            12..36 => self.poll(index),
            36..52 => self.execute_call(index),
            52..70 => self.deliver_response(index),
            70..75 => self.lose_response(index),
            75..77 => self.refuse(index),
            77..80 => self.apply_delayed(),
            80..84 => self.start_run(index),
            84..87 => self.settle(index),
            87..93 => self.release(index),
            93 => self.agents[index].responses_to_lose = self.rng.u32(..25),
            94 => self.drop_ticket(index),
            95 => self.crash(index),
            _ => self.now = self.now + Duration::from_millis(self.rng.u64(1..80)),
        }
        self.collect_replies(index);
    }

    fn claim(&mut self, index: usize) {
        let key = self.rng.u8(..KEYS);
        self.next += 1;
        let agent = &mut self.agents[index];
        agent.pending.insert(self.next, key);
        let key = digest(key);
        agent.shard.claim(self.now, self.next, key, &mut self.rng);
    }

    fn poll(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if agent.call.is_none() {
            let unix_ms = self.now.micros() / 1_000;
            let call = agent.shard.poll(self.now, unix_ms);
            agent.call = call.map(|call| (call, None));
        }
    }

    fn execute_call(&mut self, index: usize) {
        if let Some((call, result)) = &mut self.agents[index].call
            && result.is_none()
        {
            *result = Some(self.store.apply(call));
        }
    }

    fn complete_call(&mut self, index: usize, result: CallResult) {
        let agent = &mut self.agents[index];
        agent.shard.complete_call(self.now, result, &mut self.rng);
    }

    fn deliver_response(&mut self, index: usize) {
        if self.agents[index].responses_to_lose > 0 {
            self.agents[index].responses_to_lose -= 1;
            self.lose_response(index);
            return;
        }
        let arrived = matches!(self.agents[index].call, Some((_, Some(_))));
        if arrived && let Some((_, Some(result))) = self.agents[index].call.take() {
            self.complete_call(index, result);
        }
    }

    fn lose_response(&mut self, index: usize) {
        let Some((call, result)) = self.agents[index].call.take() else {
            return;
        };
        if result.is_none() {
            self.delayed.push(call);
        }
        let lost = PlatformError::Unknown("cut".to_owned());
        self.complete_call(index, CallResult::Failed(lost));
    }

    fn refuse(&mut self, index: usize) {
        if let Some((_, None)) = self.agents[index].call {
            self.agents[index].call = None;
            let refused = PlatformError::Refused("limit".to_owned());
            self.complete_call(index, CallResult::Failed(refused));
        }
    }

    fn apply_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let pick = self.rng.usize(..self.delayed.len());
            let call = self.delayed.swap_remove(pick);
            self.store.apply(&call);
        }
    }

    fn start_run(&mut self, index: usize) {
        let waiting = self.agents[index].tickets.iter_mut();
        if let Some(ticket) = waiting.filter(|ticket| !ticket.started).last() {
            ticket.started = true;
            self.ran.push(ticket.waiter);
            *self.effects.entry(ticket.key).or_default() += 1;
        }
    }

    fn take_ticket(&mut self, index: usize, started: bool) -> Option<Ticket> {
        let tickets = &mut self.agents[index].tickets;
        let place = tickets.iter().position(|t| t.started == started)?;
        Some(tickets.swap_remove(place))
    }

    fn settle(&mut self, index: usize) {
        if let Some(ticket) = self.take_ticket(index, true) {
            self.next += 1;
            let response = RecordedResponse::new(200, &[ticket.key]);
            let key = digest(ticket.key);
            let shard = &mut self.agents[index].shard;
            shard.settle(self.now, self.next, key, ticket.run, response);
        }
    }

    fn release(&mut self, index: usize) {
        if let Some(ticket) = self.take_ticket(index, false) {
            self.next += 1;
            let key = digest(ticket.key);
            let shard = &mut self.agents[index].shard;
            shard.release(self.now, self.next, key, ticket.run);
        }
    }

    fn drop_ticket(&mut self, index: usize) {
        let started = self.rng.bool();
        if let Some(ticket) = self.take_ticket(index, started) {
            let shard = &mut self.agents[index].shard;
            shard.abandon(digest(ticket.key), ticket.run);
        }
    }

    fn crash(&mut self, index: usize) {
        let old = std::mem::replace(&mut self.agents[index], agent(index, self.head_bytes));
        if let Some((call, None)) = old.call {
            self.delayed.push(call);
        }
    }

    fn collect_replies(&mut self, index: usize) {
        for reply in self.agents[index].shard.take_replies() {
            let Some(key) = self.agents[index].pending.remove(&reply.waiter) else {
                continue;
            };
            match reply.verdict {
                Verdict::Run(run) => self.agents[index].tickets.push(Ticket {
                    key,
                    waiter: reply.waiter,
                    run,
                    started: false,
                }),
                Verdict::Unavailable | Verdict::Full => self.refused.push(reply.waiter),
                Verdict::Done(response) => {
                    assert_eq!(response.body, [key], "another call's answer");
                    assert_eq!(self.effects.get(&key), Some(&1), "done, but never ran");
                }
                Verdict::Running | Verdict::Unsettled(_) => {}
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        if let Some((key, times)) = self.effects.iter().find(|(_, times)| **times > 1) {
            return Err(format!("call {key} ran {times} times"));
        }
        let contradicted = self.refused.iter().find(|waiter| self.ran.contains(waiter));
        match contradicted {
            Some(waiter) => Err(format!("claim {waiter} was refused, but its call ran")),
            None => Ok(()),
        }
    }

    // Continues without further faults. Every pending claim must get a reply.
    fn quiesce(&mut self) -> Result<(), String> {
        for _ in 0..400 {
            for index in 0..AGENTS {
                self.agents[index].responses_to_lose = 0;
                self.poll(index);
                self.execute_call(index);
                self.deliver_response(index);
                self.collect_replies(index);
            }
            self.now = self.now + Duration::from_millis(20);
        }
        match self.agents.iter().all(|agent| agent.pending.is_empty()) {
            true => Ok(()),
            false => Err("a claim never got a reply".to_owned()),
        }
    }
}

#[test]
fn no_interleaving_runs_a_call_twice() {
    fn holds(seed: u64) -> Result<(), String> {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        model.quiesce()?;
        model.check()
    }
    QuickCheck::new()
        // A fixed seed, so that each run tests the same cases.
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(9_000)
        .quickcheck(holds as fn(u64) -> Result<(), String>);
}

#[test]
fn the_model_reaches_every_kind_of_event() {
    let (mut effects, mut refused, mut segments, mut delayed) = (0, 0, 0, 0);
    for seed in 0..100 {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        effects += model.effects.len();
        refused += model.refused.len();
        delayed += model.delayed.len();
        segments += model.store.segments.len();
        let head = model.store.head.as_ref();
        assert!(head.is_none_or(|head| Head::decode(&head.value).is_ok()));
    }
    for count in [effects, refused, segments, delayed] {
        assert!(count > 20, "{effects} {refused} {segments} {delayed}");
    }
}

/// Guards the retention window of keys. A retry through another process within the window must
/// learn that the first call may have run, even if the entry has moved from the head into a
/// segment. After the window the key is free, and the head no longer references the segments that
/// held it.
#[test]
fn a_key_is_remembered_for_the_window() {
    let window = u64::try_from(ClaimSettings::default().window.as_millis()).unwrap();
    let after = window + 11 * 60 * 1_000;
    // The first key has moved into a segment, the last one is in the head.
    let cases = [0, KEYS - 1].map(|key| [(key, window - 1_000, false), (key, after, true)]);
    for (probed, later, runs) in cases.into_iter().flatten() {
        let mut model = Model::new(0);
        let claim_and_wait = |model: &mut Model, index: usize, key: u8, unix_ms: u64| {
            let agent = &mut model.agents[index];
            let now = Time::from_millis(unix_ms);
            agent.shard.claim(now, 1, digest(key), &mut model.rng);
            loop {
                if let Some(reply) = agent.shard.take_replies().pop() {
                    return reply.verdict;
                }
                if let Some(call) = agent.shard.poll(now, unix_ms) {
                    let result = model.store.apply(&call);
                    agent.shard.complete_call(now, result, &mut model.rng);
                }
            }
        };
        for key in 0..KEYS {
            let verdict = claim_and_wait(&mut model, 0, key, 1_000 + u64::from(key) * 100);
            assert!(matches!(verdict, Verdict::Run(_)), "{verdict:?}");
        }
        assert!(model.store.segments.len() > 3);
        let verdict = claim_and_wait(&mut model, 1, probed, 1_000 + later);
        assert_eq!(matches!(verdict, Verdict::Run(_)), runs, "{verdict:?}");
        let object = model.store.head.expect("a head");
        let head = Head::decode(&object.value).expect("a record");
        assert_eq!(head.segments.is_empty(), runs);
    }
}
