//! Tests of the prefix index, which is built from cache events that arrive late and with gaps.

use cicada_lib::backend::CacheEvent;
use cicada_lib::prefix_index::MAX_HOLDERS;
use cicada_lib::prefix_index::MAX_PREFIXES;
use cicada_lib::prefix_index::PREFIX_TTL;
use cicada_lib::prefix_index::PrefixIndex;
use cicada_lib::routing::ServerKey;
use cicada_lib::time::Time;
use quickcheck::QuickCheck;
use slotmap::SlotMap;

fn keys(count: usize) -> Vec<ServerKey> {
    let mut map: SlotMap<ServerKey, ()> = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

fn event(sequence: u64, prefix: u64, stored: bool) -> CacheEvent {
    CacheEvent {
        sequence,
        prefix,
        stored,
    }
}

#[test]
fn a_gap_clears_the_index_of_that_server_only() {
    // Cache events are lost between two that arrive. The lost ones may include the eviction of any
    // prefix; a request routed to the server for such a prefix would wait for its prefill.
    let keys = keys(2);
    let mut index = PrefixIndex::new();
    for key in &keys {
        index.apply_event(Time::ZERO, *key, &event(1, 7, true));
    }
    index.apply_event(Time::ZERO, keys[0], &event(5, 8, true));
    assert!(!index.holds(Time::ZERO, keys[0], 7));
    assert!(index.holds(Time::ZERO, keys[0], 8));
    assert!(index.holds(Time::ZERO, keys[1], 7));
    assert_eq!(index.gaps(), 1);
}

#[test]
fn old_events_are_ignored() {
    let key = keys(1)[0];
    let mut index = PrefixIndex::new();
    index.apply_event(Time::ZERO, key, &event(2, 7, true));
    index.apply_event(Time::ZERO, key, &event(1, 7, false));
    assert!(index.holds(Time::ZERO, key, 7));
}

#[test]
fn a_sent_prefix_counts_before_its_event_and_expires() {
    let key = keys(1)[0];
    let mut index = PrefixIndex::new();
    index.record_request(Time::ZERO, key, 7);
    assert!(index.holds(Time::ZERO, key, 7));
    assert!(!index.holds(Time::ZERO + PREFIX_TTL, key, 7));
}

#[test]
fn the_index_is_bounded_and_both_directions_agree() {
    fn agree(steps: Vec<(u8, u16, bool)>) -> bool {
        let keys = keys(8);
        let mut index = PrefixIndex::new();
        let mut sequence = 0;
        for (which, prefix, stored) in &steps {
            let key = keys[usize::from(which % 8)];
            // Some steps skip a sequence number.
            sequence += if which % 16 == 0 { 2 } else { 1 };
            let prefix = u64::from(*prefix % 64) + 1;
            index.apply_event(Time::ZERO, key, &event(sequence, prefix, *stored));
            let holders = index.holders(prefix);
            if holders.len() > MAX_HOLDERS || index.len() > 8 * MAX_PREFIXES {
                return false;
            }
            if !holders.iter().all(|k| index.holds(Time::ZERO, *k, prefix)) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(agree as fn(Vec<(u8, u16, bool)>) -> bool);
}

#[test]
fn the_oldest_prefixes_of_a_full_server_are_evicted() {
    let key = keys(1)[0];
    let mut index = PrefixIndex::new();
    let count = MAX_PREFIXES as u64 + 10;
    for prefix in 1..=count {
        index.record_request(Time::from_millis(prefix), key, prefix);
    }
    assert_eq!(index.len(), MAX_PREFIXES);
    assert!(!index.holds(Time::from_millis(count), key, 10));
    assert!(index.holds(Time::from_millis(count), key, 11));
    assert!(index.holders(10).is_empty());
}
