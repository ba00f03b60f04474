//! Tests of the bounds on what a process holds for its callers.

use std::sync::Arc;

use cicada_lib::byte_budget::BudgetError;
use cicada_lib::byte_budget::ByteBudget;
use cicada_lib::byte_budget::HeldBytes;
use quickcheck::TestResult;
use quickcheck::quickcheck;

const MEGABYTE: usize = 1024 * 1024;

fn held(budget: &Arc<ByteBudget>, bytes: usize) -> HeldBytes {
    let mut held = budget.holder();
    held.grow(bytes).expect("within the budget");
    held
}

/// Guards against a process that falls because a hundred slow callers together hold more than its memory.
#[test]
fn all_callers_together_hold_less_than_half_of_the_memory() {
    let memory = 88 * MEGABYTE;
    let budget = ByteBudget::new(memory);
    let mut callers: Vec<HeldBytes> = (0..400).map(|_| budget.holder()).collect();
    let failed = callers.iter_mut().filter_map(|c| c.grow(MEGABYTE).err());
    assert!(failed.count() > 300);
    assert!(budget.used() < memory / 2);
}

/// Guards against one caller that takes the memory of all.
#[test]
fn one_caller_leaves_most_of_the_budget_to_others() {
    let budget = ByteBudget::new(88 * MEGABYTE);
    let mut greedy = budget.holder();
    let most = (0..).take_while(|_| greedy.grow(64 * 1024).is_ok()).count() * 64 * 1024;
    assert_eq!(greedy.grow(64 * 1024), Err(BudgetError::CallerShare));
    assert!(most < budget.total() / 2);
    assert!(budget.holder().grow(most).is_ok());
}

/// Guards against a budget that shrinks with each caller, because bytes are not given back.
#[test]
fn bytes_are_given_back_when_sent_or_dropped() {
    let budget = ByteBudget::new(88 * MEGABYTE);
    let mut first = held(&budget, 3 * MEGABYTE);
    first.shrink(2 * MEGABYTE);
    assert_eq!(budget.used(), MEGABYTE);
    drop(held(&budget, MEGABYTE));
    drop(first);
    assert_eq!(budget.used(), 0);
}

quickcheck! {
    fn used_bytes_are_the_sum_of_what_is_held(steps: Vec<(u8, u32, bool)>) -> TestResult {
        let budget = ByteBudget::new(16 * MEGABYTE);
        let mut callers: Vec<HeldBytes> = (0..8).map(|_| budget.holder()).collect();
        for (caller, bytes, grows) in steps {
            let held = &mut callers[usize::from(caller) % 8];
            match grows {
                true => drop(held.grow(bytes as usize)),
                false => held.shrink(bytes as usize),
            }
            let sum: usize = callers.iter().map(HeldBytes::bytes).sum();
            if sum != budget.used() || sum > budget.total() {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
}
