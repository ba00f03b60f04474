//! The batch of the stand-in engine, without network and timers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::engine_http::StreamLine;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use testutils::engine_core::CoreSettings;
use testutils::engine_core::EngineCore;
use testutils::engine_core::Step;
use testutils::generation::End;
use testutils::generation::RunRecord;
use testutils::output_length::OutputLengths;
use testutils::token_text::check_text;

fn spec(id: u64, prompt: &str, priority: u8) -> GenerationSpec {
    GenerationSpec {
        id: GenerationId(id),
        model: Name::new("model"),
        adapter: Name::default(),
        prompt: prompt.to_string(),
        max_tokens: 1_000,
        priority,
    }
}

fn core(capacity: u64) -> EngineCore {
    let settings = CoreSettings {
        capacity,
        ..CoreSettings::new()
    };
    EngineCore::new(settings, 1)
}

fn run_to_end(core: &mut EngineCore, capacity: u64) {
    let now = Instant::now();
    while core.plan(now) != Step::Idle {
        core.produce(now);
        assert!(core.used() <= capacity);
    }
}

fn runs(core: &EngineCore) -> HashMap<u64, RunRecord> {
    let records = core.records().into_iter();
    records.map(|record| (record.id.0, record)).collect()
}

fn text(core: &EngineCore, id: u64) -> String {
    let page = core.page(GenerationId(id), 0);
    let lines = page.map(|page| page.lines).unwrap_or_default();
    lines
        .into_iter()
        .filter_map(|line| match line {
            StreamLine::Event(EngineEvent::Token { text, .. }) => Some(text),
            _ => None,
        })
        .collect()
}

// Four callers stream; the memory fills while they decode; each still gets its whole answer, in
// order: the engine displaces some, computes them anew, and goes on at the next token.
#[test]
fn full_memory_displaces_and_every_answer_is_whole() {
    let mut core = core(120);
    for id in 1..=4 {
        assert!(core.start(spec(id, "len=50", 1)));
    }
    run_to_end(&mut core, 120);
    assert!(core.preemptions() > 0);
    for id in 1..=4 {
        assert_eq!(check_text("len=50", &text(&core, id)), Ok(50));
    }
    assert_eq!(core.used(), 0);
}

#[test]
fn lowest_priority_then_latest_start_is_displaced() {
    let mut core = core(100);
    for (id, priority) in [(1, 1), (2, 2), (3, 1), (4, 2)] {
        core.start(spec(id, "len=30", priority));
    }
    run_to_end(&mut core, 100);
    let runs = runs(&core);
    assert!(runs[&3].preemptions > 0);
    assert!(runs[&1].preemptions <= runs[&3].preemptions);
    assert_eq!(runs[&2].preemptions, 0);
    assert_eq!(runs[&4].preemptions, 0);
}

#[test]
fn generation_that_fits_nowhere_fails() {
    let mut core = core(20);
    core.start(spec(1, "len=50", 1));
    run_to_end(&mut core, 20);
    assert_eq!(runs(&core)[&1].end, End::OutOfMemory);
}

#[test]
fn paused_generation_frees_memory_and_resumes() {
    let mut core = core(1_000);
    core.start(spec(1, "len=10", 1));
    let now = Instant::now();
    for _ in 0..4 {
        core.plan(now);
        core.produce(now);
    }
    assert!(core.pause(GenerationId(1)));
    assert_eq!((core.used(), core.running(), core.waiting()), (0, 0, 1));
    assert_eq!(core.plan(now), Step::Idle);
    assert!(core.resume(GenerationId(1)));
    run_to_end(&mut core, 1_000);
    assert_eq!(check_text("len=10", &text(&core, 1)), Ok(10));
}

#[test]
fn limit_on_tokens_truncates() {
    let mut core = core(1_000);
    let mut spec = spec(1, "len=50", 1);
    spec.max_tokens = 7;
    core.start(spec);
    run_to_end(&mut core, 1_000);
    let lines = core.page(GenerationId(1), 7).map(|page| page.lines);
    let done = StreamLine::Event(EngineEvent::Done {
        prompt_tokens: 2,
        output_tokens: 7,
        truncated: true,
    });
    assert_eq!(lines, Some(vec![done]));
}

#[test]
fn cached_prompt_costs_less() {
    let mut core = core(10_000);
    let prompt = format!("{} len=2", "a hymn ".repeat(200));
    let now = Instant::now();
    core.start(spec(1, &prompt, 1));
    let first = core.plan(now);
    core.cancel(GenerationId(1), now);
    core.start(spec(2, &prompt, 1));
    let second = core.plan(now);
    match (first, second) {
        (Step::Ran(first), Step::Ran(second)) => assert!(second < first),
        other => panic!("{other:?}"),
    }
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let settings = CoreSettings {
        cache_gaps: 0.3,
        cache_blocks: 4,
        ..CoreSettings::new()
    };
    let mut core = EngineCore::new(settings, 1);
    let now = Instant::now();
    for id in 0..50 {
        let prompt = format!("{id:02} {}", "vows ".repeat(200));
        core.start(spec(id + 1, &prompt, 1));
    }
    core.plan(now);
    assert!(core.cache().events(0, now).is_empty());
    let events = core.cache().events(0, now + Duration::from_secs(1));
    assert!(events.is_sorted_by_key(|event| event.sequence));
    let steps = events
        .windows(2)
        .map(|pair| pair[1].sequence - pair[0].sequence);
    assert!(steps.into_iter().any(|step| step > 1));
    assert!(events.iter().any(|event| !event.stored));
}

#[test]
fn lengths_are_spread_and_the_same_for_the_same_prompt() {
    let lengths = OutputLengths {
        median: 64,
        spread: 1.0,
        longest: 8_192,
        seed: 1,
    };
    let mut drawn: Vec<_> = (0..999)
        .map(|number| lengths.draw(&format!("prompt {number}")))
        .collect();
    assert_eq!(lengths.draw("prompt 5"), drawn[5]);
    drawn.sort_unstable();
    assert!((50..80).contains(&drawn[499]), "{}", drawn[499]);
    assert!(drawn[989] > 8 * drawn[499]);
}
