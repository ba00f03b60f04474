//! Non-idempotent calls under faults: each runs at most once, and "not run" is true.

use std::time::Duration;

use bytes::Bytes;
use cicada_lib::config::Keyless;
use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::ServiceField;
use cicada_lib::ids::Name;
use eyre::Result;
use http::Response;
use testutils::caller::Caller;
use testutils::caller::error_of;
use testutils::cluster::Signal;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::deployment::PLAIN_SERVICE;
use testutils::platform::PlatformFaults;
use testutils::proxy::LinkFaults;
use testutils::service::ServiceFaults;

const FAST_LINKS: &str = "[link]\nheartbeat = 100\nsilent = 400\nconnect_time = 400\n\
    [entry]\nresume_window = 1500\n[drain]\nnotice = 300\n";

const BOOK: &str = "/services/booking/book";

async fn start(services: usize, entries: usize) -> Result<Deployment> {
    let settings = DeploymentSettings::new(0, services, entries).with_extra(FAST_LINKS);
    Deployment::start(settings).await
}

async fn book(caller: &Caller, key: &str) -> Result<Response<Bytes>> {
    caller
        .send("POST", BOOK, &[("idempotency-key", key)], "{}")
        .await
}

/// How often a key took effect, on all plain services together.
fn effects(deployment: &Deployment, key: &str) -> usize {
    deployment
        .services
        .iter()
        .map(|host| host.service.count(key))
        .sum()
}

fn all_effects(deployment: &Deployment) -> usize {
    deployment
        .services
        .iter()
        .map(|host| host.service.effects().len())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_sent_again_through_another_entry_runs_once() -> Result<()> {
    // The caller sends its booking again with the same key, at other entries, at once and later.
    // Every time it is given the first run's answer; the plain services ran it once.
    let deployment = start(3, 3).await?;
    let first = book(&deployment.caller(0), "font-1").await?;
    assert!(first.status().is_success(), "{first:?}");
    for entry in [1, 2, 0] {
        let again = book(&deployment.caller(entry), "font-1").await?;
        assert_eq!(again.status(), first.status(), "{again:?}");
        assert_eq!(again.body(), first.body());
    }
    let (a, b, c) = (
        deployment.caller(0),
        deployment.caller(1),
        deployment.caller(2),
    );
    let together = tokio::join!(book(&a, "font-2"), book(&b, "font-2"), book(&c, "font-2"));
    for answer in [together.0?, together.1?, together.2?] {
        assert!(answer.status().is_success(), "{answer:?}");
    }
    assert_eq!(effects(&deployment, "font-1"), 1);
    assert_eq!(effects(&deployment, "font-2"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_of_another_workspace_is_another_booking() -> Result<()> {
    let deployment = start(1, 1).await?;
    let ours = book(&deployment.caller(0), "same").await?;
    let theirs = book(&deployment.other_caller(0), "same").await?;
    assert!(ours.status().is_success() && theirs.status().is_success());
    assert_eq!(effects(&deployment, "same"), 2);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_told_as_unknown_and_nothing_runs_twice() -> Result<()> {
    // The plain service takes the booking and its answer is lost. The caller is told that it may have
    // run, with and without a key; a resend with the key is told the same and runs nothing.
    let deployment = start(2, 2).await?;
    for host in &deployment.services {
        host.service.set_faults(ServiceFaults {
            lost: 1.0,
            ..ServiceFaults::default()
        });
    }
    let unkeyed = deployment.caller(0).send("POST", BOOK, &[], "{}").await?;
    assert_eq!(error_of(&unkeyed)?["ran"], "unknown");
    assert_eq!(all_effects(&deployment), 1);

    let keyed = book(&deployment.caller(0), "lost").await?;
    assert_eq!(error_of(&keyed)?["ran"], "unknown");
    for host in &deployment.services {
        host.service.set_faults(ServiceFaults::default());
    }
    let again = book(&deployment.caller(1), "lost").await?;
    assert_eq!(error_of(&again)?["ran"], "unknown", "{again:?}");
    assert_eq!(effects(&deployment, "lost"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_booking_may_be_sent_again() -> Result<()> {
    // The plain services refuse before they run and ask for a second of rest. The caller is told "not run", also if it
    // comes back sooner, and its try after that with the same key runs: the claim was given back.
    let deployment = start(1, 2).await?;
    let service = &deployment.services[0].service;
    service.set_faults(ServiceFaults {
        refuse: true,
        ..ServiceFaults::default()
    });
    let refused = book(&deployment.caller(0), "again").await?;
    assert_eq!(error_of(&refused)?["ran"], "no", "{refused:?}");
    assert_eq!(effects(&deployment, "again"), 0);
    service.set_faults(ServiceFaults::default());
    let early = book(&deployment.caller(1), "again").await?;
    assert_eq!(error_of(&early)?["ran"], "no", "{early:?}");
    assert_eq!(effects(&deployment, "again"), 0);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let served = book(&deployment.caller(1), "again").await?;
    assert!(served.status().is_success(), "{served:?}");
    assert_eq!(effects(&deployment, "again"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_wait_for_the_store_and_others_go_on() -> Result<()> {
    // The platform is down. A booking with a key is refused as not run, since nobody could keep the
    // key; a read and a booking without a key are served. Once the store is back, the key works.
    let deployment = start(1, 1).await?;
    deployment.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let caller = deployment.caller(0);
    let refused = book(&caller, "down").await?;
    let error = error_of(&refused)?;
    assert_eq!(error["code"], "store_unavailable", "{error}");
    assert_eq!(error["ran"], "no", "{error}");
    let read = caller
        .send("GET", "/services/booking/fonts", &[], "")
        .await?;
    assert!(read.status().is_success(), "{read:?}");
    let unkeyed = caller.send("POST", BOOK, &[], "{}").await?;
    assert!(unkeyed.status().is_success(), "{unkeyed:?}");

    deployment.platform.set_faults(PlatformFaults::default());
    let mut served = book(&caller, "down").await?;
    for _ in 0..50 {
        if served.status().is_success() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        served = book(&caller, "down").await?;
    }
    assert!(served.status().is_success(), "{served:?}");
    assert_eq!(effects(&deployment, "down"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_loses_its_answers_does_not_double_a_booking() -> Result<()> {
    // The store carries out the claim and its answer is lost. The agent reads the claim back before
    // anything runs, so that the caller is served, once, and a resend is given the same answer.
    let deployment = start(2, 2).await?;
    deployment.platform.set_faults(PlatformFaults {
        lost: 0.5,
        ..PlatformFaults::default()
    });
    for number in 0..10 {
        let key = format!("lossy-{number}");
        let first = book(&deployment.caller(0), &key).await?;
        let again = book(&deployment.caller(1), &key).await?;
        if first.status().is_success() {
            assert_eq!(again.body(), first.body(), "{again:?}");
        }
        assert!(effects(&deployment, &key) <= 1);
        if effects(&deployment, &key) == 1 {
            assert_ne!(
                error_of(&again).map(|error| error["ran"] == "no").ok(),
                Some(true)
            );
        }
    }
    assert!(all_effects(&deployment) > 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_outlives_the_agent_that_took_it() -> Result<()> {
    // The agent dies while the plain service runs the booking. The caller is told that it may have
    // run; a resend goes to another agent, finds the claim, and runs nothing.
    let mut deployment = start(2, 2).await?;
    for host in &deployment.services {
        host.service.set_faults(ServiceFaults {
            slow: 1_500,
            ..ServiceFaults::default()
        });
    }
    let caller = deployment.caller(0);
    let first = tokio::spawn(async move { book(&caller, "orphan").await });
    tokio::time::sleep(Duration::from_millis(700)).await;
    for host in &mut deployment.services {
        host.agent.process.signal(Signal::Kill)?;
        host.agent.process.wait_end(Duration::from_secs(5)).await?;
        Deployment::restart(&mut host.agent).await?;
    }
    let first = first.await??;
    assert_eq!(error_of(&first)?["ran"], "unknown", "{first:?}");
    let again = book(&deployment.caller(1), "orphan").await?;
    assert_eq!(error_of(&again)?["ran"], "unknown", "{again:?}");
    assert!(effects(&deployment, "orphan") <= 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_link_does_not_double_a_call() -> Result<()> {
    // The link to the agent carries nothing any more while a call without a key runs. The entry asks
    // the same agent over a new link, which still knows the call and gives its answer.
    let deployment = start(1, 1).await?;
    deployment.services[0].service.set_faults(ServiceFaults {
        slow: 1_000,
        ..ServiceFaults::default()
    });
    let caller = deployment.caller(0);
    let call = tokio::spawn(async move { caller.send("POST", BOOK, &[], "{}").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.services[0].front.silence();
    let answer = call.await??;
    assert!(answer.status().is_success(), "{answer:?}");
    assert_eq!(all_effects(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_never_reached_its_agent_is_proved_not_run() -> Result<()> {
    // The way to one agent takes everything and passes nothing on, so that a call is sent and not
    // answered. Over a new link the agent says that it has no trace, and keeps the late copy away:
    // the call may run elsewhere.
    let deployment = start(1, 1).await?;
    let caller = deployment.caller(0);
    let warm = caller
        .send("GET", "/services/booking/fonts", &[], "")
        .await?;
    assert!(warm.status().is_success());
    let mut faults = LinkFaults::default();
    faults.forward.stalled = true;
    let front = &deployment.services[0].front;
    front.set(faults).await?;
    let sender = caller.clone();
    let call = tokio::spawn(async move { sender.send("POST", BOOK, &[], "{}").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    front.cut().await;
    front.set(LinkFaults::default()).await?;
    let answer = call.await??;
    assert!(answer.status().is_success(), "{answer:?}");
    assert_eq!(all_effects(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_never_said_after_an_attempt_that_may_have_run() -> Result<()> {
    // The only agent dies while the plain service runs a keyed booking, and nobody takes its place.
    // The entry's next attempt finds no backend server, and did not run. The first one did: the caller
    // must not be told "not run", or it would book again under a new key.
    let mut deployment = start(1, 1).await?;
    deployment.services[0].service.set_faults(ServiceFaults {
        slow: 400,
        ..ServiceFaults::default()
    });
    let caller = deployment.caller(0);
    let call = tokio::spawn(async move { book(&caller, "doubt").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.services[0].agent.process.signal(Signal::Kill)?;
    let answer = call.await??;
    assert_eq!(error_of(&answer)?["ran"], "unknown", "{answer:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_past_its_deadline_may_have_run() -> Result<()> {
    // The plain service takes longer than the caller's deadline. The call cannot be taken back: the
    // caller is told that it may have run, and it does run, once.
    let deployment = start(1, 1).await?;
    deployment.services[0].service.set_faults(ServiceFaults {
        slow: 1_500,
        ..ServiceFaults::default()
    });
    let headers = [("x-deadline-ms", "500")];
    let answer = deployment
        .caller(0)
        .send("POST", BOOK, &headers, "{}")
        .await?;
    assert_eq!(error_of(&answer)?["ran"], "unknown", "{answer:?}");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(all_effects(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_wants_keys_takes_no_call_without_one() -> Result<()> {
    let deployment = start(1, 1).await?;
    let fields = vec![ServiceField::Keyless(Keyless::Refuse)];
    let edit = Edit::Service(Name::new(PLAIN_SERVICE), Action::Set(fields));
    deployment.commit(Change::new(vec![edit])).await?;
    let caller = deployment.caller(0);
    for _ in 0..100 {
        let answer = caller.send("POST", BOOK, &[], "{}").await?;
        if answer.status() == 400 {
            assert_eq!(error_of(&answer)?["code"], "idempotency_key_needed");
            let read = caller
                .send("GET", "/services/booking/fonts", &[], "")
                .await?;
            assert!(read.status().is_success(), "{read:?}");
            assert!(book(&caller, "with").await?.status().is_success());
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("calls without a key are still taken");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_does_not_cut_off_its_agent() -> Result<()> {
    // Both plain services lose one answer; the callers are told that their bookings may have run. The
    // agents that said so can be reached: the next bookings are served.
    let deployment = start(2, 1).await?;
    for host in &deployment.services {
        host.service.set_faults(ServiceFaults {
            lose_next: 1,
            ..ServiceFaults::default()
        });
    }
    let caller = deployment.caller(0);
    let mut unknown = 0;
    for number in 0..20 {
        let answer = book(&caller, &format!("next-{number}")).await?;
        if !answer.status().is_success() {
            assert_eq!(error_of(&answer)?["ran"], "unknown", "{number}: {answer:?}");
            unknown += 1;
        }
    }
    assert!((1..=2).contains(&unknown), "{unknown}");
    Ok(())
}
