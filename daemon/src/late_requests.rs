//! Requests that come to an entry that drains.
//!
//! What is decided for each is in `cicada_lib::drain_admission`.

use std::time::Duration;

use cicada_lib::drain_admission::ExpectedTime;
use cicada_lib::drain_admission::LateRequest;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::time::Time;

use crate::callers::Callers;
use crate::callers::Result;
use crate::dispatch::DEADLINE_GRACE;
use crate::refusal::Refusal;

/// `Retry-After` of a caller that another entry can serve at once.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);

impl Callers {
    /// Refuses a request whose body is complete if this entry drains, the balancer has turned away, and the request may
    /// outlast the time that is left. Only the deadline makes an end certain.
    pub(crate) fn refuse_late(&self, deadline: Time) -> Result<()> {
        let process = self.entry.process();
        let Some(elapsed) = process.draining_for() else {
            return Ok(());
        };
        let (notice, limit) = process.drain_times();
        if elapsed < notice {
            return Ok(());
        }
        let grace = notice + limit;
        let request = LateRequest {
            grace,
            left: grace.saturating_sub(elapsed),
            time_limit: deadline.since(self.entry.clock().now()) + DEADLINE_GRACE,
            expected: ExpectedTime::Call {
                repeatable: false,
                slowest: None,
            },
        };
        let Err(why) = request.check() else {
            return Ok(());
        };
        tracing::info!(
            why = why.as_str(),
            left_ms = request.left.as_millis() as u64,
            limit_ms = request.time_limit.as_millis() as u64,
            "request: refused, this entry is about to end"
        );
        let refusal = NotRun::before_dispatch(RefusalReason::Draining, Some(RETRY_ELSEWHERE));
        let response = Refusal::not_run(&refusal);
        self.entry.metrics().ended(&Outcome::NotRun(refusal));
        Err(response)
    }
}
