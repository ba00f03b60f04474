//! Tests of how long watches on the directory may wait.

use std::time::Duration;

use cicada_lib::site::WATCH_ANSWER_TIMEOUT;
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
        let wait = watch_wait(promise);
        TestResult::from_bool(wait + WATCH_ANSWER_TIMEOUT + SPREAD_TIME <= promise)
    }
}
