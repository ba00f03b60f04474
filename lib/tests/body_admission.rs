//! Tests of the admission of callers' bodies to the memory of a host.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::body_admission::BodyAdmission;
use cicada_lib::body_admission::GrowingBody;
use cicada_lib::byte_budget::BudgetError;
use cicada_lib::byte_budget::ByteBudget;
use cicada_lib::time::Time;
use quickcheck::QuickCheck;

const NOW: Time = Time::ZERO;
const KILOBYTE: usize = 1024;

/// Memory of a host of which 80 KB may be taken by bodies, 30 KB by one of them.
const MEMORY: usize = 400 * KILOBYTE;
const BODY: usize = 20 * KILOBYTE;

fn admission() -> (Arc<ByteBudget>, Arc<BodyAdmission>) {
    let budget = ByteBudget::new(MEMORY);
    (budget.clone(), BodyAdmission::new(budget))
}

/// Guards against bodies that all reach the bound with a part each.
#[test]
fn of_bodies_that_grow_in_lockstep_the_oldest_are_completed() {
    let (budget, admission) = admission();
    let mut bodies: Vec<Option<GrowingBody>> = Vec::new();
    for _ in 0..40 {
        bodies.push(admission.begin(NOW, None).ok());
    }
    for _ in 0..BODY / KILOBYTE {
        for body in &mut bodies {
            let grown = body.as_mut().is_some_and(|b| b.grow(NOW, KILOBYTE).is_ok());
            body.take_if(|_| !grown);
        }
    }
    let whole: Vec<bool> = bodies.iter().map(Option::is_some).collect();
    assert_eq!(whole.iter().filter(|whole| **whole).count(), 4);
    assert!(whole[..4].iter().all(|whole| *whole));
    assert_eq!(budget.used(), 4 * BODY);
    drop(bodies);
    assert_eq!(budget.used(), 0);
}

/// Guards against a body that is read although it cannot be held whole.
#[test]
fn a_body_of_known_length_is_held_whole_or_refused_at_once() {
    let (budget, admission) = admission();
    let held: Vec<_> = (0..5).map(|_| admission.begin(NOW, Some(BODY))).collect();
    assert!(held[..4].iter().all(Result::is_ok));
    assert_eq!(held[4].as_ref().err(), Some(&BudgetError::Total));
    assert_eq!(budget.used(), 4 * BODY);
    let too_long = admission.begin(NOW, Some(BODY * 2));
    assert_eq!(too_long.err(), Some(BudgetError::CallerShare));
}

/// Guards against callers that announce bodies, send nothing and keep the memory from others.
#[test]
fn bodies_that_have_stopped_arriving_give_way() {
    let (_, admission) = admission();
    let mut held: Vec<_> = (0..4)
        .map(|_| admission.begin(NOW, Some(BODY)).unwrap())
        .collect();
    let later = NOW + Duration::from_millis(1_100);
    assert!(held[3].grow(later, KILOBYTE).is_ok());
    let other = admission.begin(later, Some(BODY));
    assert!(other.is_ok());
    assert!(held[0].grow(later, KILOBYTE).is_err());
    assert!(held[3].grow(later, KILOBYTE).is_ok());
}

/// Guards against bytes that stay held, or are given back twice.
#[test]
fn what_is_held_is_what_the_bodies_hold() {
    fn balanced(steps: Vec<(u8, u8, u16)>) -> bool {
        let (budget, admission) = admission();
        let mut bodies: Vec<GrowingBody> = Vec::new();
        let mut whole = Vec::new();
        for (step, (action, place, bytes)) in steps.into_iter().enumerate() {
            let now = NOW + Duration::from_millis(step as u64 * 400);
            let bytes = usize::from(bytes);
            match (action % 5, bodies.len()) {
                (0, _) => bodies.extend(admission.begin(now, None)),
                (1, _) => bodies.extend(admission.begin(now, Some(bytes))),
                (_, 0) => {}
                (2, count) => whole.extend(bodies.remove(usize::from(place) % count).finish()),
                (3, count) => drop(bodies.remove(usize::from(place) % count)),
                (_, count) => {
                    let _ = bodies[usize::from(place) % count].grow(now, bytes);
                }
            }
            if budget.used() > budget.total() {
                return false;
            }
        }
        drop(bodies);
        let held: usize = whole.iter().map(|held| held.bytes()).sum();
        let balanced = budget.used() == held;
        drop(whole);
        balanced && budget.used() == 0
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(balanced as fn(Vec<(u8, u8, u16)>) -> bool);
}
