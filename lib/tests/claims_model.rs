//! At most once under any interleaving of resends, crashes, pauses, delayed writes and lost answers.
//!
//! Three processes claim the same few keys of one shard before a store whose answers get lost and
//! whose writes may land long after their sender gave up. A process that holds a ticket may run the
//! call at any later moment, or die before or after it. A caller books twice if any key has two
//! effects, and is lied to if a claim that was refused runs after all.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::claim_intent::Answer;
use cicada_lib::claim_intent::ClaimSettings;
use cicada_lib::claim_intent::Intent;
use cicada_lib::claim_intent::Verdict;
use cicada_lib::claim_intent::WaiterId;
use cicada_lib::claim_log::Head;
use cicada_lib::claim_log::KeyDigest;
use cicada_lib::claim_log::RecordedAnswer;
use cicada_lib::claim_log::RunId;
use cicada_lib::claim_shard::ClaimShard;
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
    fn apply(&mut self, intent: &Intent) -> Answer {
        match intent {
            Intent::ReadHead => Answer::Found(self.head.clone()),
            Intent::ReadSegment(version) => {
                let found = self.segments.get(version).map(|value| Object {
                    version: Version(1),
                    value: value.clone(),
                });
                Answer::Found(found)
            }
            Intent::CreateSegment(version, value) => {
                if self.segments.contains_key(version) {
                    let found = Some(Version(1));
                    return Answer::Failed(PlatformError::Conflict { found });
                }
                self.segments.insert(*version, value.clone());
                Answer::Written(Version(1))
            }
            Intent::WriteHead(value, condition) => self.write(value, *condition),
            Intent::DeleteSegment(version) => {
                self.segments.remove(version);
                Answer::Deleted
            }
        }
    }

    fn write(&mut self, value: &Bytes, condition: Condition) -> Answer {
        let found = self.head.as_ref().map(|object| object.version);
        let holds = match condition {
            Condition::Absent => found.is_none(),
            Condition::At(version) => found == Some(version),
        };
        if !holds {
            return Answer::Failed(PlatformError::Conflict { found });
        }
        let version = Version(found.unwrap_or_default().0 + 1);
        let value = value.clone();
        self.head = Some(Object { version, value });
        Answer::Written(version)
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
    call: Option<(Intent, Option<Answer>)>,
    asked: HashMap<WaiterId, u8>,
    tickets: Vec<Ticket>,
    // So many of the next answers get lost.
    cut: u32,
}

struct Model {
    store: Store,
    // Room for one entry or a few: heads become segments all the time.
    head_bytes: usize,
    // Of 100 faults drawn so many come about: without a pause for work no claim grows old.
    faults: u32,
    // Writes whose senders have given up on them. They may land at any time.
    delayed: Vec<Intent>,
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
        asked: HashMap::new(),
        tickets: Vec::new(),
        cut: 0,
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
        let at = self.rng.usize(..AGENTS);
        let draw = self.rng.u8(..100);
        let fault = matches!(draw, 70..77 | 93..96);
        if fault && self.rng.u32(..100) >= self.faults {
            return;
        }
        match draw {
            0..12 => self.claim(at),
            12..36 => self.poll(at),
            36..52 => self.reach_store(at),
            52..70 => self.deliver(at),
            70..75 => self.lose_answer(at),
            75..77 => self.refuse(at),
            77..80 => self.land_delayed(),
            80..84 => self.start(at),
            84..87 => self.settle(at),
            87..93 => self.release(at),
            93 => self.agents[at].cut = self.rng.u32(..25),
            94 => self.drop_ticket(at),
            95 => self.crash(at),
            _ => self.now = self.now + Duration::from_millis(self.rng.u64(1..80)),
        }
        self.hear(at);
    }

    fn claim(&mut self, at: usize) {
        let key = self.rng.u8(..KEYS);
        self.next += 1;
        let agent = &mut self.agents[at];
        agent.asked.insert(self.next, key);
        let key = digest(key);
        agent.shard.claim(self.now, self.next, key, &mut self.rng);
    }

    fn poll(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        if agent.call.is_none() {
            let unix_ms = self.now.micros() / 1_000;
            let intent = agent.shard.poll(self.now, unix_ms);
            agent.call = intent.map(|intent| (intent, None));
        }
    }

    fn reach_store(&mut self, at: usize) {
        if let Some((intent, answer)) = &mut self.agents[at].call
            && answer.is_none()
        {
            *answer = Some(self.store.apply(intent));
        }
    }

    fn answer(&mut self, at: usize, answer: Answer) {
        let agent = &mut self.agents[at];
        agent.shard.done(self.now, answer, &mut self.rng);
    }

    fn deliver(&mut self, at: usize) {
        if self.agents[at].cut > 0 {
            self.agents[at].cut -= 1;
            self.lose_answer(at);
            return;
        }
        let arrived = matches!(self.agents[at].call, Some((_, Some(_))));
        if arrived && let Some((_, Some(answer))) = self.agents[at].call.take() {
            self.answer(at, answer);
        }
    }

    fn lose_answer(&mut self, at: usize) {
        let Some((intent, answer)) = self.agents[at].call.take() else {
            return;
        };
        if answer.is_none() {
            self.delayed.push(intent);
        }
        let lost = PlatformError::Unknown("cut".to_owned());
        self.answer(at, Answer::Failed(lost));
    }

    fn refuse(&mut self, at: usize) {
        if let Some((_, None)) = self.agents[at].call {
            self.agents[at].call = None;
            let refused = PlatformError::Refused("limit".to_owned());
            self.answer(at, Answer::Failed(refused));
        }
    }

    fn land_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let pick = self.rng.usize(..self.delayed.len());
            let intent = self.delayed.swap_remove(pick);
            self.store.apply(&intent);
        }
    }

    fn start(&mut self, at: usize) {
        let waiting = self.agents[at].tickets.iter_mut();
        if let Some(ticket) = waiting.filter(|ticket| !ticket.started).last() {
            ticket.started = true;
            self.ran.push(ticket.waiter);
            *self.effects.entry(ticket.key).or_default() += 1;
        }
    }

    fn take(&mut self, at: usize, started: bool) -> Option<Ticket> {
        let tickets = &mut self.agents[at].tickets;
        let place = tickets.iter().position(|t| t.started == started)?;
        Some(tickets.swap_remove(place))
    }

    fn settle(&mut self, at: usize) {
        if let Some(ticket) = self.take(at, true) {
            self.next += 1;
            let answer = RecordedAnswer::new(200, &[ticket.key]);
            let key = digest(ticket.key);
            let shard = &mut self.agents[at].shard;
            shard.settle(self.now, self.next, key, ticket.run, answer);
        }
    }

    fn release(&mut self, at: usize) {
        if let Some(ticket) = self.take(at, false) {
            self.next += 1;
            let key = digest(ticket.key);
            let shard = &mut self.agents[at].shard;
            shard.release(self.now, self.next, key, ticket.run);
        }
    }

    fn drop_ticket(&mut self, at: usize) {
        let started = self.rng.bool();
        if let Some(ticket) = self.take(at, started) {
            let shard = &mut self.agents[at].shard;
            shard.lose(digest(ticket.key), ticket.run);
        }
    }

    fn crash(&mut self, at: usize) {
        let old = std::mem::replace(&mut self.agents[at], agent(at, self.head_bytes));
        if let Some((intent, None)) = old.call {
            self.delayed.push(intent);
        }
    }

    fn hear(&mut self, at: usize) {
        for reply in self.agents[at].shard.take_replies() {
            let Some(key) = self.agents[at].asked.remove(&reply.waiter) else {
                continue;
            };
            match reply.verdict {
                Verdict::Run(run) => self.agents[at].tickets.push(Ticket {
                    key,
                    waiter: reply.waiter,
                    run,
                    started: false,
                }),
                Verdict::Unavailable | Verdict::Full => self.refused.push(reply.waiter),
                Verdict::Done(answer) => {
                    assert_eq!(answer.body, [key], "another call's answer");
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
        let lied = self.refused.iter().find(|waiter| self.ran.contains(waiter));
        match lied {
            Some(waiter) => Err(format!("claim {waiter} was refused and ran")),
            None => Ok(()),
        }
    }

    // Everyone goes on without further faults: all who wait must be told.
    fn quiesce(&mut self) -> Result<(), String> {
        for _ in 0..400 {
            for at in 0..AGENTS {
                self.agents[at].cut = 0;
                self.poll(at);
                self.reach_store(at);
                self.deliver(at);
                self.hear(at);
            }
            self.now = self.now + Duration::from_millis(20);
        }
        match self.agents.iter().all(|agent| agent.asked.is_empty()) {
            true => Ok(()),
            false => Err("a claim is never answered".to_owned()),
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
        // The same cases in each run.
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

/// A family sends its deposit again a day later, through another process. Within the window it is
/// told that the first may have run, also when the entry has long left the head. After the window the
/// key is new; the objects that held it are gone.
#[test]
fn a_key_is_remembered_for_the_window() {
    let window = u64::try_from(ClaimSettings::default().window.as_millis()).unwrap();
    let after = window + 11 * 60 * 1_000;
    // The first key has moved into a segment, the last one is in the head.
    let cases = [0, KEYS - 1].map(|key| [(key, window - 1_000, false), (key, after, true)]);
    for (asked, later, runs) in cases.into_iter().flatten() {
        let mut model = Model::new(0);
        let ask = |model: &mut Model, at: usize, key: u8, unix_ms: u64| {
            let agent = &mut model.agents[at];
            let now = Time::from_millis(unix_ms);
            agent.shard.claim(now, 1, digest(key), &mut model.rng);
            loop {
                if let Some(reply) = agent.shard.take_replies().pop() {
                    return reply.verdict;
                }
                if let Some(intent) = agent.shard.poll(now, unix_ms) {
                    let answer = model.store.apply(&intent);
                    agent.shard.done(now, answer, &mut model.rng);
                }
            }
        };
        for key in 0..KEYS {
            let verdict = ask(&mut model, 0, key, 1_000 + u64::from(key) * 100);
            assert!(matches!(verdict, Verdict::Run(_)), "{verdict:?}");
        }
        assert!(model.store.segments.len() > 3);
        let verdict = ask(&mut model, 1, asked, 1_000 + later);
        assert_eq!(matches!(verdict, Verdict::Run(_)), runs, "{verdict:?}");
        let object = model.store.head.expect("a head");
        let head = Head::decode(&object.value).expect("a record");
        assert_eq!(head.segments.is_empty(), runs);
    }
}
