//! The codes of the reasons that belong to outcomes.

use std::collections::HashSet;

use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::Reason;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::RetryReason;
use cicada_lib::outcome::UnknownReason;

fn codes<R: Reason>() -> Vec<&'static str> {
    R::ALL.iter().map(|reason| reason.code()).collect()
}

#[test]
fn no_two_reasons_share_a_code() {
    for codes in [
        codes::<RefusalReason>(),
        codes::<FailureReason>(),
        codes::<UnknownReason>(),
        codes::<RetryReason>(),
    ] {
        let distinct: HashSet<_> = codes.iter().collect();
        assert_eq!(distinct.len(), codes.len(), "{codes:?}");
    }
}
