//! How messages that are read whole share memory.

use comfreymux_lib::serve::byte_budget::BudgetBuffer;
use comfreymux_lib::serve::byte_budget::ByteBudget;
use proptest::prelude::*;

const LIMIT: usize = 32 * 1024 * 1024;
/// Longest message.
const MAX_MESSAGE: usize = 8 * 1024 * 1024;
const PART: usize = 64 * 1024;

/// Reads a message until it is whole or has no more memory; returns whether it is whole.
fn read(buffer: &mut BudgetBuffer, length: usize) -> bool {
    let part = vec![0; PART];
    while buffer.len() < length {
        let next = PART.min(length - buffer.len());
        if buffer.extend(&part[..next]).is_err() {
            return false;
        }
    }
    true
}

/// Guards against a few large messages that fit being refused.
#[test]
fn few_read() {
    let budget = ByteBudget::new(LIMIT);
    let mut buffers: Vec<_> = (0..3).map(|_| budget.buffer()).collect();
    assert!(buffers.iter_mut().all(|buffer| read(buffer, MAX_MESSAGE)));
}

/// Guards against messages without end taking all memory, so that usual ones of other callers are refused.
#[test]
fn usual_read() {
    let budget = ByteBudget::new(LIMIT);
    let mut endless: Vec<_> = (0..200).map(|_| budget.buffer()).collect();
    for buffer in &mut endless {
        let _refused = read(buffer, MAX_MESSAGE);
    }
    let mut usual: Vec<_> = (0..200).map(|_| budget.buffer()).collect();
    assert!(usual.iter_mut().all(|buffer| read(buffer, 4_800)));
}

/// Guards against memory that stays charged after its message was dropped, until every message is refused.
#[test]
fn returned_whole() {
    let budget = ByteBudget::new(LIMIT);
    let mut buffer = budget.buffer();
    assert!(read(&mut buffer, MAX_MESSAGE));
    let bytes = buffer.freeze();
    let part = bytes.slice(..10);
    drop(bytes);
    assert!(budget.used() >= MAX_MESSAGE, "a part of the message is still in use");
    drop(part);
    assert_eq!(budget.used(), 0);
}

proptest! {
    /// Guards against memory beyond the limit, in whatever order messages are read and dropped.
    #[test]
    fn limit_kept(steps in prop::collection::vec((0_usize..64, 0_usize..3 * MAX_MESSAGE), 1..200)) {
        let budget = ByteBudget::new(LIMIT);
        let mut buffers: Vec<_> = (0..64).map(|_| budget.buffer()).collect();
        for (index, length) in steps {
            if length % 3 == 0 {
                buffers[index] = budget.buffer();
            } else {
                let _refused = read(&mut buffers[index], length);
            }
            prop_assert!(budget.used() <= LIMIT);
        }
        drop(buffers);
        prop_assert_eq!(budget.used(), 0);
    }
}
