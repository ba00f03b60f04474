//! Tests of whose statements an answer carries.

use cicada_lib::dialect::AnswerHead;
use cicada_lib::ids::Name;
use cicada_lib::server_statement::ServerStatement;
use cicada_lib::server_statement::Speaker;
use http::StatusCode;

fn head(id: Option<&str>, signed: bool) -> AnswerHead {
    AnswerHead {
        id: id.map(Name::new),
        refused: false,
        other: None,
        signed,
        statement: ServerStatement::default(),
    }
}

fn speaker(head: &AnswerHead, status: StatusCode) -> Speaker {
    head.speaker(Some(&Name::new("call-1")), status)
}

#[test]
fn answers_to_the_request_are_of_the_expected_server() {
    let signed = head(Some("call-1"), true);
    assert_eq!(speaker(&signed, StatusCode::OK), Speaker::Expected);
    let refusal = head(None, false);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(speaker(&refusal, status), Speaker::Expected);
}

/// Guards against a server that is taken for leaving because of a late answer or bytes of no server.
#[test]
fn answers_to_other_requests_and_unsigned_successes_have_no_known_speaker() {
    let late = head(Some("call-0"), true);
    assert_eq!(speaker(&late, StatusCode::OK), Speaker::Unknown);
    let unsigned = head(Some("call-1"), false);
    assert_eq!(speaker(&unsigned, StatusCode::OK), Speaker::Unknown);
}

/// Guards against statements of the server that has taken over an address, attributed to the former one.
#[test]
fn an_answer_that_names_another_server_is_of_that_server() {
    let misdirected = AnswerHead {
        refused: true,
        other: Some(Name::new("i-2")),
        ..head(Some("call-1"), false)
    };
    let status = StatusCode::MISDIRECTED_REQUEST;
    let other = Speaker::Other(Name::new("i-2"));
    assert_eq!(speaker(&misdirected, status), other);
    let unnamed = AnswerHead {
        other: None,
        ..misdirected
    };
    assert_eq!(speaker(&unnamed, status), Speaker::Unknown);
}
