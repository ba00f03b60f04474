//! The rules of the queue of waiting streams: who may wait, for how long, and in which order.

use std::time::Duration;

use cicada_lib::admission::wait_queue;
use cicada_lib::admission::wait_queue::Departure;
use cicada_lib::admission::wait_queue::QueueFull;
use cicada_lib::admission::wait_queue::Ticket;
use cicada_lib::admission::wait_queue::WaitQueue;
use cicada_lib::admission::wait_queue::WaitRequest;
use cicada_lib::time::Time;

/// A new request of the most urgent kind that may wait for long.
const REQUEST: WaitRequest = WaitRequest {
    rank: 0,
    returning: false,
    over_share: false,
    tokens: 3_000,
    limit: Duration::from_secs(10),
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Serves all waiting requests, and returns them in the order of their turns.
fn serve_all(queue: &mut WaitQueue, now: Time) -> Vec<Ticket> {
    let turns = std::iter::from_fn(|| {
        let ticket = queue.next()?;
        queue.leave(now, ticket, Departure::Placed)?;
        Some(ticket)
    });
    turns.collect()
}

/// Guards against streams that wait although their route has no slack, or beyond the time in which they can be served
/// within the tightest objective.
#[test]
fn only_slack_over_the_tightest_objective_may_be_spent_waiting() {
    let limit = |objective, own_prefill, age| {
        let (objective, tightest) = (millis(objective), millis(1_500));
        wait_queue::wait_limit(objective, tightest, millis(own_prefill), millis(age))
    };
    assert_eq!(limit(4_000, 250, 0), Some(millis(2_250)));
    assert_eq!(limit(4_000, 250, 800), Some(millis(1_450)));
    assert_eq!(limit(1_800, 0, 0), None);
    assert_eq!(limit(1_999, 0, 0), None);
    assert_eq!(limit(2_000, 0, 0), Some(millis(500)));
    assert_eq!(limit(1_500, 0, 0), None);
    assert_eq!(limit(1_000, 0, 0), None);
    assert_eq!(limit(4_000, 250, 2_250), None, "returned too late");
}

/// Guards against a less urgent, new or greedy caller that goes before others.
#[test]
fn urgent_then_returning_then_modest_then_early_requests_go_first() -> Result<(), QueueFull> {
    let mut queue = WaitQueue::new();
    let requests = [
        WaitRequest { rank: 1, ..REQUEST },
        WaitRequest {
            over_share: true,
            ..REQUEST
        },
        REQUEST,
        REQUEST,
        WaitRequest {
            returning: true,
            over_share: true,
            ..REQUEST
        },
        WaitRequest {
            returning: true,
            ..REQUEST
        },
        WaitRequest {
            rank: 1,
            returning: true,
            ..REQUEST
        },
    ];
    let tickets = requests.iter().map(|r| queue.enter(Time::ZERO, r));
    let tickets: Vec<Ticket> = tickets.collect::<Result<_, QueueFull>>()?;
    let order = [5, 4, 2, 3, 1, 6, 0].map(|index| tickets[index]);
    assert_eq!(serve_all(&mut queue, Time::from_millis(10)), order);
    assert!(queue.is_empty());
    Ok(())
}

/// Guards against new requests that overtake a waiting one of their kind, and against urgent ones that are held up.
#[test]
fn only_more_urgent_requests_overtake() -> Result<(), QueueFull> {
    let mut queue = WaitQueue::new();
    assert!(!queue.is_ahead_of(2));
    queue.enter(Time::ZERO, &WaitRequest { rank: 1, ..REQUEST })?;
    assert!(!queue.is_ahead_of(0));
    assert!(queue.is_ahead_of(1));
    assert!(queue.is_ahead_of(2));
    Ok(())
}

/// Guards against a queue that grows beyond what is served in time, at a known rate and without one.
#[test]
fn the_length_follows_the_rate_of_placements() {
    let wait = WaitRequest {
        limit: millis(2_500),
        ..REQUEST
    };
    let fill = |queue: &mut WaitQueue, now| {
        let entered = std::iter::from_fn(|| queue.enter(now, &wait).ok());
        entered.count()
    };
    let mut queue = WaitQueue::new();
    let unknown = fill(&mut queue, Time::ZERO);
    assert_eq!(unknown, 5);
    // Ten placements a second.
    for at in (100..=10_000).step_by(100) {
        let now = Time::from_millis(at);
        if let Some(ticket) = queue.next() {
            queue.leave(now, ticket, Departure::Placed);
        }
        fill(&mut queue, now);
    }
    assert!((18..=26).contains(&queue.len()), "{}", queue.len());
    let now = Time::from_millis(10_000);
    let full = queue.enter(now, &wait).expect_err("queue is full");
    assert_eq!(full.ahead, queue.len());
    assert!(full.shorter_in <= millis(200), "{full:?}");
}

/// Guards against callers that wait in vain one after the other once nothing is placed any more, and against a queue that
/// nobody enters again after that.
#[test]
fn a_line_whose_rate_falls_to_zero_closes_and_opens_again() {
    let wait = WaitRequest {
        limit: millis(2_500),
        ..REQUEST
    };
    let mut queue = WaitQueue::new();
    let mut in_vain = 0;
    let mut refused = 0;
    for at in (0..30_000).step_by(100) {
        let now = Time::from_millis(at);
        in_vain += queue.expire(now).len();
        refused += usize::from(queue.enter(now, &wait).is_err());
    }
    // Of 300 requests, those of the first moment and then a single one every few seconds.
    assert!((5..=12).contains(&in_vain), "{in_vain}");
    assert!(refused >= 285, "{refused}");
    queue.expire(Time::from_millis(33_000));
    let later = Time::from_millis(60_000);
    let entered = (0..10).filter(|_| queue.enter(later, &wait).is_ok());
    assert!(entered.count() >= 4);
}

/// Guards against places that stay taken by requests whose callers left or whose wait is over.
#[test]
fn requests_leave_when_their_callers_do_or_their_time_is_up() -> Result<(), QueueFull> {
    let mut queue = WaitQueue::new();
    let short = queue.enter(
        Time::ZERO,
        &WaitRequest {
            limit: millis(600),
            ..REQUEST
        },
    )?;
    let long = queue.enter(Time::ZERO, &REQUEST)?;
    assert_eq!(queue.expire(Time::from_millis(599)), []);
    assert_eq!(queue.expire(Time::from_millis(600)), [short]);
    let now = Time::from_millis(700);
    assert_eq!(queue.leave(now, short, Departure::Withdrawn), None);
    assert_eq!(
        queue.leave(now, long, Departure::Withdrawn),
        Some(millis(700))
    );
    assert!(queue.is_empty());
    Ok(())
}

/// Guards against a long request at the head that holds up short ones for which there is memory, and against short ones
/// that take all its turns.
#[test]
fn a_long_request_that_does_not_fit_alternates_with_shorter_ones() -> Result<(), QueueFull> {
    let mut queue = WaitQueue::new();
    let long = queue.enter(
        Time::ZERO,
        &WaitRequest {
            tokens: 12_000,
            ..REQUEST
        },
    )?;
    let medium = queue.enter(
        Time::ZERO,
        &WaitRequest {
            tokens: 9_000,
            ..REQUEST
        },
    )?;
    let short = queue.enter(Time::ZERO, &REQUEST)?;
    for _ in 0..2 {
        assert_eq!(queue.next(), Some(long));
        queue.record_unfit(long);
        assert_eq!(queue.next(), Some(short));
        queue.record_unfit(short);
    }
    queue.leave(Time::ZERO, long, Departure::Placed);
    assert_eq!(queue.next(), Some(medium));
    Ok(())
}
