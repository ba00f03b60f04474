//! A plain service behind an agent that refuses calls and asks for rest.

use std::time::Duration;

use eyre::Result;
use http::StatusCode;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::service::ServiceFaults;
use tokio::time::sleep;

const BOOK: &str = "/services/booking/book";

/// The rest that the stand-in asks for in its refusals.
const REST: Duration = Duration::from_secs(1);

/// Guards against an agent that sends its service all calls on although it asked for rest, and against callers that
/// are not told when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_asked_for_rest_gets_no_calls_until_it_ends() -> Result<()> {
    let deployment = Deployment::start(DeploymentSettings::new(0, 1, 1)).await?;
    let caller = deployment.caller(0);
    let service = &deployment.services[0].service;
    service.set_faults(ServiceFaults {
        refuse: true,
        ..ServiceFaults::default()
    });
    for number in 0..5 {
        let key = format!("font-{number}");
        let refused = caller
            .send("POST", BOOK, &[("idempotency-key", &key)], "{}")
            .await?;
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.headers().contains_key("retry-after"));
    }
    assert_eq!(service.refusals(), 1, "calls reached a resting service");
    service.set_faults(ServiceFaults::default());
    sleep(REST).await;
    let booked = caller
        .send("POST", BOOK, &[("idempotency-key", "font-9")], "{}")
        .await?;
    assert!(booked.status().is_success(), "{booked:?}");
    Ok(())
}
