//! Properties of the stand-in engine's batch under any order of calls.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::engine_http::StreamLine;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use testutils::engine_core::CoreSettings;
use testutils::engine_core::EngineCore;
use testutils::engine_core::Step;
use testutils::generation::End;
use testutils::token_text::token_text;

const CAPACITY: u64 = 60;

#[derive(Clone, Copy, Debug)]
enum Act {
    Start { id: u64, length: u32, priority: u8 },
    Cancel(u64),
    Pause(u64),
    Resume(u64),
    Step,
    Die,
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = 1 + u64::arbitrary(g) % 8;
        match u8::arbitrary(g) % 16 {
            0..=3 => Act::Start {
                id,
                length: 1 + u32::arbitrary(g) % 70,
                priority: u8::arbitrary(g) % 3,
            },
            4 => Act::Cancel(id),
            5 => Act::Pause(id),
            6 | 7 => Act::Resume(id),
            8 if u8::arbitrary(g) < 32 => Act::Die,
            _ => Act::Step,
        }
    }
}

fn prompt(length: u32) -> String {
    format!("len={length}")
}

fn step(core: &mut EngineCore, now: Instant) -> bool {
    let ran = matches!(core.plan(now), Step::Ran(_));
    core.produce(now);
    ran
}

fn act(core: &mut EngineCore, act: Act, incarnation: &mut u64, now: Instant) {
    match act {
        Act::Start {
            id,
            length,
            priority,
        } => {
            core.start(GenerationSpec {
                id: GenerationId(id),
                model: Name::new("model"),
                adapter: Name::default(),
                prompt: prompt(length),
                max_tokens: 1_000,
                priority,
            });
        }
        Act::Cancel(id) => drop(core.cancel(GenerationId(id), now)),
        Act::Pause(id) => drop(core.pause(GenerationId(id))),
        Act::Resume(id) => drop(core.resume(GenerationId(id))),
        Act::Step => drop(step(core, now)),
        Act::Die => {
            core.die();
            *incarnation += 1;
            core.reborn(*incarnation);
        }
    }
}

/// The indexes of a generation's tokens, where each has the right text.
fn indexes(core: &EngineCore, id: u64, from: u32, digest: u16) -> Option<Vec<u32>> {
    let id = GenerationId(id);
    let place = core.place(id, from)?;
    let lines = core.page(id, place)?.lines;
    let mut indexes = Vec::new();
    for line in lines {
        if let StreamLine::Event(EngineEvent::Token { index, text }) = line {
            assert_eq!(text, token_text(id, digest, index));
            indexes.push(index);
        }
    }
    Some(indexes)
}

fn holds(acts: Vec<Act>) -> bool {
    let settings = CoreSettings {
        capacity: CAPACITY,
        max_batch: 5,
        keep: Duration::from_secs(600),
        ..CoreSettings::new()
    };
    let mut core = EngineCore::new(settings, 1);
    let mut incarnation = 1;
    let now = Instant::now();
    for one in acts {
        act(&mut core, one, &mut incarnation, now);
        assert!(core.used() <= CAPACITY && core.running() <= 5);
    }
    for id in 1..=8 {
        core.resume(GenerationId(id));
    }
    while step(&mut core, now) {}
    assert_eq!((core.used(), core.waiting()), (0, 0));

    let mut latest = HashMap::new();
    for record in core.records() {
        assert_ne!(record.end, End::Open);
        let current = record.incarnation == incarnation;
        assert!(!current || record.end != End::Died, "{record:?}");
        if current {
            let earlier = latest.insert(record.id.0, record);
            assert!(earlier.is_none(), "each runs at most once in one start");
        }
    }
    for (id, record) in latest {
        for from in [0, 3, record.output_tokens] {
            let expected: Vec<_> = (from..record.output_tokens).collect();
            assert_eq!(indexes(&core, id, from, record.digest), Some(expected));
        }
    }
    true
}

// Whatever callers and the agent do, the engine's memory holds, every generation comes to one end,
// and its tokens stand in order, once each, from any index on.
#[test]
fn every_generation_is_whole_whatever_happens() {
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<Act>) -> bool);
}
