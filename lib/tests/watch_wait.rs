//! Tests of how long watches on the directory may wait.

use std::time::Duration;

use cicada_lib::site::WATCH_ANSWER_TIMEOUT;
use cicada_lib::watch_wait::PULL_TIME;
use cicada_lib::watch_wait::READ_TIME;
use cicada_lib::watch_wait::SILENCE_TIMEOUT;
use cicada_lib::watch_wait::SPREAD_TIME;
use cicada_lib::watch_wait::watch_wait;
use quickcheck::TestResult;
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against a change that is missed on a silent connection and comes into force later than promised.
    fn a_silent_watch_is_noticed_before_the_promise_is_broken(promise_ms: u32) -> TestResult {
        let promise = Duration::from_millis(u64::from(promise_ms % 60_000));
        if promise < Duration::from_millis(2_050) {
            return TestResult::discard();
        }
        let reactions = [
            SILENCE_TIMEOUT + READ_TIME + PULL_TIME,
            WATCH_ANSWER_TIMEOUT + SPREAD_TIME,
        ];
        let in_time = |reaction| watch_wait(promise, reaction) + reaction <= promise;
        TestResult::from_bool(reactions.into_iter().all(in_time))
    }
}
