//! Keyed calls through the driver, two processes and a store with faults.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::claims::Claim;
use cicada_lib::claims::ClaimError;
use cicada_lib::claims::ClaimSettings;
use cicada_lib::claims::ClaimTicket;
use cicada_lib::claims::Claims;
use cicada_lib::claims::KeyDigest;
use cicada_lib::claims::RecordedAnswer;
use cicada_lib::ids::Name;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::RefusalReason;
use testutils::memory_platform::Faults;
use testutils::memory_platform::MemoryPlatform;

const NOW: u64 = 1_790_000_000_000;

struct Bench {
    store: Arc<MemoryPlatform>,
    service: Name,
}

impl Bench {
    fn new() -> Self {
        Bench {
            store: Arc::new(MemoryPlatform::new()),
            service: Name::new("booking"),
        }
    }

    fn process(&self, writer: &str) -> Claims {
        let settings = ClaimSettings::default();
        Claims::new(self.store.clone(), settings, Name::new(writer))
    }

    async fn claim(&self, claims: &Claims, key: &str) -> Result<Claim, ClaimError> {
        let workspace = Name::new("hanshan");
        claims.claim(&self.service, &workspace, key, NOW).await
    }

    async fn ticket(&self, claims: &Claims, key: &str) -> ClaimTicket {
        match self.claim(claims, key).await {
            Ok(Claim::Run(ticket)) => ticket,
            other => panic!("no ticket: {other:?}"),
        }
    }
}

fn keys_of_one_shard() -> Vec<String> {
    let workspace = Name::new("hanshan");
    let keys = (0..100).map(|number| format!("deposit {number}"));
    keys.filter(|key| KeyDigest::new(&workspace, key).shard() == 0)
        .collect()
}

/// A family's deposit is sent, and its answer gets lost on the way. The caller sends it again: to the
/// same process while it runs, then after it ran, then to another process. It runs once, and every
/// resend after the run gets the recorded answer.
#[tokio::test]
async fn a_resend_finds_the_first_call() {
    let bench = Bench::new();
    let first = bench.process("first");
    let ticket = bench.ticket(&first, "deposit 7").await;
    let again = bench.claim(&first, "deposit 7").await;
    assert!(matches!(again, Ok(Claim::Running)), "{again:?}");
    let answer = RecordedAnswer::new(201, b"booked");
    let settled = first.settle(ticket, answer.clone()).await;
    assert_eq!(settled, Ok(()));
    for process in [first, bench.process("second")] {
        let resend = bench.claim(&process, "deposit 7").await;
        match resend {
            Ok(Claim::Done(recorded)) => assert_eq!(recorded, answer),
            other => panic!("{other:?}"),
        }
    }
}

/// The process that claimed a sale dies before it answers. A resend to its successor, which has the
/// same name, is told that the sale may have run: nobody can know, so nobody runs it again.
#[tokio::test]
async fn a_claim_without_result_is_unknown_elsewhere() {
    let bench = Bench::new();
    let first = bench.process("agent");
    let ticket = bench.ticket(&first, "sale").await;
    std::mem::forget(ticket);
    let resend = bench.claim(&bench.process("agent"), "sale").await;
    let Ok(Claim::ElsewhereUnsettled { writer }) = resend else {
        panic!("{resend:?}");
    };
    assert_eq!(writer, Name::new("agent"));
}

/// A claimed call is proven not to have run (the backend server refused it). The claim is given back,
/// and a resend through another process runs.
#[tokio::test]
async fn a_released_key_runs_elsewhere() {
    let bench = Bench::new();
    let first = bench.process("first");
    let ticket = bench.ticket(&first, "deposit").await;
    let released = first
        .release(ticket, &NotRun::refused_by_backend(None))
        .await;
    assert_eq!(released, Ok(()));
    bench.ticket(&bench.process("second"), "deposit").await;
}

/// Half of the store's calls fail: refused, lost before or after they took effect, or late. Two
/// processes ask for the same key again and again, as the resends of an impatient caller do. At most
/// one ticket is given out, and once the store works, everyone learns what became of the key.
#[tokio::test]
async fn lost_answers_give_out_one_ticket() {
    let faults = Faults {
        refused: 10,
        lost_before: 10,
        lost_after: 20,
        late: 10,
    };
    let mut tickets = 0;
    for seed in 0..20 {
        let bench = Bench {
            store: Arc::new(MemoryPlatform::with_faults(seed, faults)),
            service: Name::new("booking"),
        };
        let processes = [bench.process("first"), bench.process("second")];
        let mut held = Vec::new();
        for _ in 0..3 {
            let (a, b) = tokio::join!(
                bench.claim(&processes[0], "deposit"),
                bench.claim(&processes[1], "deposit")
            );
            held.extend([a, b].into_iter().filter_map(|claim| match claim {
                Ok(Claim::Run(ticket)) => Some(ticket),
                _ => None,
            }));
        }
        assert!(held.len() <= 1, "seed {seed}: {held:?}");
        tickets += held.len();
    }
    assert!(tickets > 10, "only {tickets} of 20 got through");
}

/// The store is down. A keyed call is refused, with a reason that proves that it did not run; later
/// ones are refused without a call to the store. Once it answers again, the same key runs.
#[tokio::test]
async fn an_outage_refuses_and_ends() {
    let bench = Bench::new();
    let first = bench.process("first");
    bench.store.set_down(true);
    let refused = bench.claim(&first, "deposit").await;
    let Err(error) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(error.not_run().reason(), RefusalReason::StoreUnavailable);
    let refused = bench.claim(&first, "deposit").await;
    assert!(refused.is_err(), "{refused:?}");
    bench.store.set_down(false);
    tokio::time::sleep(Duration::from_millis(600)).await;
    bench.ticket(&first, "deposit").await;
}

/// The caller of a claim goes away while the store is asked. The claim is written and then given
/// back, so the caller's resend through another process runs instead of being answered "unknown".
#[tokio::test]
async fn a_claim_that_nobody_waits_for_is_given_back() {
    let bench = Bench::new();
    let first = bench.process("first");
    tokio::select! {
        biased;
        claim = bench.claim(&first, "deposit") => panic!("answered at once: {claim:?}"),
        () = std::future::ready(()) => {}
    }
    let second = bench.process("second");
    for _ in 0..100 {
        if let Ok(Claim::Run(_)) = bench.claim(&second, "deposit").await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the key stays claimed");
}

/// A process is paused for half of the time for which keys are remembered, and wakes with a ticket.
/// It must not start the call: soon a resend may run elsewhere.
#[tokio::test]
async fn an_old_ticket_starts_nothing() {
    let bench = Bench::new();
    let ticket = bench.ticket(&bench.process("first"), "deposit").await;
    let half = u64::try_from(ClaimSettings::default().window.as_millis() / 2).unwrap();
    assert!(ticket.may_start(NOW + half - 1));
    assert!(!ticket.may_start(NOW + half));
}

/// A claim takes effect, but neither its answer nor any reading back arrives, so the caller is told
/// that its call did not run. The claim must not stand in the way of the caller's later try through
/// another process once the store answers again.
#[tokio::test]
async fn a_refused_claim_is_taken_back() {
    let bench = Bench::new();
    let first = bench.process("first");
    // The head of the shard is in memory, so that the claim's first call is its write.
    let keys = keys_of_one_shard();
    let _other = bench.ticket(&first, &keys[0]).await;
    bench.store.set_faults(Faults {
        lost_after: 100,
        ..Faults::default()
    });
    let refused = bench.claim(&first, &keys[1]).await;
    assert!(refused.is_err(), "{refused:?}");
    bench.store.set_faults(Faults::default());
    let second = bench.process("second");
    for _ in 0..100 {
        if let Ok(Claim::Run(_)) = bench.claim(&second, &keys[1]).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the key stays claimed");
}

/// The store is set back to an older backup. Claims made since are gone from it, and a resend would
/// run again, so the process that remembers a newer head refuses keyed calls and counts it.
#[tokio::test]
async fn an_older_store_is_refused() {
    let bench = Bench::new();
    let first = bench.process("first");
    let workspace = Name::new("hanshan");
    let keys: Vec<_> = (0..100).map(|n| format!("deposit {n}")).collect();
    let shard = |key: &str| KeyDigest::new(&workspace, key).shard();
    let same: Vec<_> = keys
        .iter()
        .filter(|k| shard(k) == shard(&keys[0]))
        .collect();
    let _a = bench.ticket(&first, same[0]).await;
    let backup = bench.store.objects();
    let _b = bench.ticket(&first, same[1]).await;
    bench.store.restore(backup);
    let refused = bench.claim(&first, same[2]).await;
    assert!(refused.is_err(), "{refused:?}");
    assert!(first.counts().await.regressions > 0);
}
