//! The whole path: a caller's request through entry and agent to a backend server and back.

use eyre::Result;
use serde_json::Value;
use testutils::caller::error_of;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_generation_comes_whole_and_in_order() -> Result<()> {
    let deployment = Deployment::start(DeploymentSettings::new(3, 0, 2)).await?;
    for entry in 0..2 {
        let prompt = format!("a programme of hymns {entry} len=60");
        let heard = deployment.caller(entry).stream(&prompt).await?.hear().await;
        assert!(heard.done, "{heard:?}");
        assert_eq!(heard.check(&prompt)?, 60);
        let usage = heard.usage.unwrap_or_default();
        assert_eq!(usage["completion_tokens"], 60);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_completion_and_a_plain_call_are_answered() -> Result<()> {
    let deployment = Deployment::start(DeploymentSettings::new(1, 1, 1)).await?;
    let caller = deployment.caller(0);
    let answer = caller.complete("which font is free len=8").await?;
    assert_eq!(answer.status(), 200, "{answer:?}");
    let body: Value = serde_json::from_slice(answer.body())?;
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    let tokens = testutils::token_text::check_text("which font is free len=8", text)?;
    assert_eq!(tokens, 8);

    let path = "/services/booking/book?font=2";
    let answer = caller.send("POST", path, &[], "{}").await?;
    assert!(answer.status().is_success(), "{answer:?}");
    let effects = deployment.services[0].service.effects();
    assert_eq!(effects.len(), 1, "{effects:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_request_gets_a_clear_error_and_nothing_runs() -> Result<()> {
    let deployment = Deployment::start(DeploymentSettings::new(1, 1, 1)).await?;
    let caller = deployment.caller(0);
    let path = "/v1/completions";
    let json = ("content-type", "application/json");
    let good = r#"{"model": "model", "prompt": "a"}"#;
    let cases = [
        ("POST", path, vec![json], "{", 400, "invalid_body"),
        (
            "POST",
            path,
            vec![json],
            "{\"model\": \"model\", \"prompt\": \"\"}",
            400,
            "invalid_body",
        ),
        (
            "POST",
            path,
            vec![json],
            r#"{"model": "none", "prompt": "a"}"#,
            404,
            "model_not_found",
        ),
        ("GET", path, vec![], "", 405, "method_not_allowed"),
        (
            "POST",
            "/v2/completions",
            vec![json],
            good,
            404,
            "not_found",
        ),
        (
            "POST",
            path,
            vec![json, ("x-deadline-ms", "soon")],
            good,
            400,
            "invalid_deadline",
        ),
        (
            "POST",
            path,
            vec![json, ("last-event-id", "1:2:3")],
            good,
            400,
            "invalid_event_id",
        ),
        (
            "POST",
            "/services/none/book",
            vec![json],
            good,
            404,
            "service_not_found",
        ),
    ];
    for (method, path, headers, body, status, code) in cases {
        let answer = caller.send(method, path, &headers[..], body).await?;
        assert_eq!(answer.status(), status, "{method} {path} {body}");
        let error = error_of(&answer)?;
        assert_eq!(error["code"], code, "{error}");
        assert_eq!(error["ran"], "no", "{error}");
    }
    assert!(deployment.engines[0].engine.record().runs.is_empty());
    assert!(deployment.services[0].service.effects().is_empty());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_key_is_refused() -> Result<()> {
    let deployment = Deployment::start(DeploymentSettings::new(1, 0, 1)).await?;
    let stranger = testutils::caller::Caller::new(deployment.entries[0].listen, "stolen");
    let answer = stranger.complete("a len=2").await?;
    assert_eq!(answer.status(), 401);
    assert_eq!(error_of(&answer)?["code"], "invalid_api_key");
    Ok(())
}
