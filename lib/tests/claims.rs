//! Tests of claims through the driver, with two processes and a store with injected faults.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::claims::Claim;
use cicada_lib::claims::ClaimError;
use cicada_lib::claims::ClaimSettings;
use cicada_lib::claims::ClaimTicket;
use cicada_lib::claims::Claims;
use cicada_lib::claims::KeyDigest;
use cicada_lib::claims::RecordedResponse;
use cicada_lib::ids::Name;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::RefusalReason;
use testutils::memory_platform::Faults;
use testutils::memory_platform::MemoryPlatform;

const NOW: u64 = 1_790_000_000_000;

struct Fixture {
    store: Arc<MemoryPlatform>,
    service: Name,
}

impl Fixture {
    fn new() -> Self {
        Fixture {
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

/// Guards against a retried call running twice. The caller lost the response and retries: at the
/// same process while the call runs, after it ran, and at another process. The call runs once, and
/// every retry after the run gets the recorded response.
#[tokio::test]
async fn a_resend_finds_the_first_call() {
    let fixture = Fixture::new();
    let first = fixture.process("first");
    let ticket = fixture.ticket(&first, "deposit 7").await;
    let again = fixture.claim(&first, "deposit 7").await;
    assert!(matches!(again, Ok(Claim::Running)), "{again:?}");
    let response = RecordedResponse::new(201, b"booked");
    let settled = first.settle(ticket, response.clone()).await;
    assert_eq!(settled, Ok(()));
    for process in [first, fixture.process("second")] {
        let resend = fixture.claim(&process, "deposit 7").await;
        match resend {
            Ok(Claim::Done(recorded)) => assert_eq!(recorded, response),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against running a call again whose outcome is unknown. The process that claimed it
/// crashes before it responds. A retry at its successor, which has the same name, gets "may have
/// run".
#[tokio::test]
async fn a_claim_without_result_is_unknown_elsewhere() {
    let fixture = Fixture::new();
    let first = fixture.process("agent");
    let ticket = fixture.ticket(&first, "sale").await;
    std::mem::forget(ticket);
    let resend = fixture.claim(&fixture.process("agent"), "sale").await;
    let Ok(Claim::ElsewhereUnsettled { writer }) = resend else {
        panic!("{resend:?}");
    };
    assert_eq!(writer, Name::new("agent"));
}

/// A claimed call is proven not to have run, because the backend server refused it. The claim is
/// released, and a retry through another process runs.
#[tokio::test]
async fn a_released_key_runs_elsewhere() {
    let fixture = Fixture::new();
    let first = fixture.process("first");
    let ticket = fixture.ticket(&first, "deposit").await;
    let released = first
        .release(ticket, &NotRun::refused_by_backend(None))
        .await;
    assert_eq!(released, Ok(()));
    fixture.ticket(&fixture.process("second"), "deposit").await;
}

/// Half of the store calls fail: they are refused, lost before or after taking effect, or delayed.
/// Two processes repeatedly claim the same key, as when a caller retries too early. At most one
/// ticket is issued in each run, and more than half of the runs get one.
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
        let fixture = Fixture {
            store: Arc::new(MemoryPlatform::with_faults(seed, faults)),
            service: Name::new("booking"),
        };
        let processes = [fixture.process("first"), fixture.process("second")];
        let mut held = Vec::new();
        for _ in 0..3 {
            let (a, b) = tokio::join!(
                fixture.claim(&processes[0], "deposit"),
                fixture.claim(&processes[1], "deposit")
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

/// During a store outage, a claim is refused with a reason that proves that the call did not run,
/// and later claims are refused without calling the store. After the outage, the same key can be
/// claimed.
#[tokio::test]
async fn an_outage_refuses_and_ends() {
    let fixture = Fixture::new();
    let first = fixture.process("first");
    fixture.store.set_down(true);
    let refused = fixture.claim(&first, "deposit").await;
    let Err(error) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(error.not_run().reason(), RefusalReason::StoreUnavailable);
    let refused = fixture.claim(&first, "deposit").await;
    assert!(refused.is_err(), "{refused:?}");
    fixture.store.set_down(false);
    tokio::time::sleep(Duration::from_millis(600)).await;
    fixture.ticket(&first, "deposit").await;
}

/// Guards against a leaked claim when its future is dropped during the store call. The claim is
/// written and then released, so a retry through another process runs instead of getting "unknown".
#[tokio::test]
async fn a_claim_that_nobody_waits_for_is_given_back() {
    let fixture = Fixture::new();
    let first = fixture.process("first");
    tokio::select! {
        biased;
        claim = fixture.claim(&first, "deposit") => panic!("answered at once: {claim:?}"),
        () = std::future::ready(()) => {}
    }
    let second = fixture.process("second");
    for _ in 0..100 {
        if let Ok(Claim::Run(_)) = fixture.claim(&second, "deposit").await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the key stays claimed");
}

/// A process with a ticket is paused for half of the retention window. It must not start the call
/// afterwards: a retry may soon run elsewhere.
#[tokio::test]
async fn an_old_ticket_starts_nothing() {
    let fixture = Fixture::new();
    let ticket = fixture.ticket(&fixture.process("first"), "deposit").await;
    let half = u64::try_from(ClaimSettings::default().window.as_millis() / 2).unwrap();
    assert!(ticket.may_start(NOW + half - 1));
    assert!(!ticket.may_start(NOW + half));
}

/// A claim takes effect, but the responses to its write and to all later reads are lost, so the
/// caller is told that its call did not run. Once the store responds again, the claim must be
/// released, so that a retry through another process can run.
#[tokio::test]
async fn a_refused_claim_is_taken_back() {
    let fixture = Fixture::new();
    let first = fixture.process("first");
    // The head of the shard is in memory, so that the claim's first call is its write.
    let keys = keys_of_one_shard();
    let _other = fixture.ticket(&first, &keys[0]).await;
    fixture.store.set_faults(Faults {
        lost_after: 100,
        ..Faults::default()
    });
    let refused = fixture.claim(&first, &keys[1]).await;
    assert!(refused.is_err(), "{refused:?}");
    fixture.store.set_faults(Faults::default());
    let second = fixture.process("second");
    for _ in 0..100 {
        if let Ok(Claim::Run(_)) = fixture.claim(&second, &keys[1]).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the key stays claimed");
}

/// The store is restored from an older backup. Claims made since are lost, so a retry would run
/// again. A process that has seen a newer head must refuse claims and count the regression.
#[tokio::test]
async fn an_older_store_is_refused() {
    let fixture = Fixture::new();
    let first = fixture.process("first");
    let workspace = Name::new("hanshan");
    let keys: Vec<_> = (0..100).map(|n| format!("deposit {n}")).collect();
    let shard = |key: &str| KeyDigest::new(&workspace, key).shard();
    let same: Vec<_> = keys
        .iter()
        .filter(|k| shard(k) == shard(&keys[0]))
        .collect();
    let _a = fixture.ticket(&first, same[0]).await;
    let backup = fixture.store.objects();
    let _b = fixture.ticket(&first, same[1]).await;
    fixture.store.restore(backup);
    let refused = fixture.claim(&first, same[2]).await;
    assert!(refused.is_err(), "{refused:?}");
    assert!(first.counts().await.regressions > 0);
}
