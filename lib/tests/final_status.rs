//! Which statuses end an exchange.

use cicada_lib::final_status::is_final;
use http::StatusCode;

/// Guards against an informational or undefined status that is taken for a final answer, and against a lost final one.
#[test]
fn final_statuses_are_those_from_200_to_599() {
    for code in 100..1_000 {
        let status = StatusCode::from_u16(code).unwrap();
        assert_eq!(is_final(status), (200..=599).contains(&code), "{code}");
    }
}
