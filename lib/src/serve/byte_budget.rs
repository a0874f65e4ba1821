//! Memory for messages that are read whole, shared by all connections of a daemon.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use thiserror::Error;

/// Bytes that each message may have, however little memory is left: usual messages go on while large ones are refused.
const MIN_BYTES: usize = 16 * 1024;

/// A message would take more than its part of the memory that is left.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no memory for the message")]
pub struct BudgetExceeded;

/// A limit on the memory of all messages of one kind. Clones share it.
///
/// A message may have two thirds of what the others leave, so that the largest are refused first and some is always left.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// A message that is being read; its memory is returned to the budget when this, or the last of the bytes, is dropped.
#[derive(Debug)]
pub struct BudgetBuffer {
    budget: ByteBudget,
    /// Its capacity is what the budget is charged with.
    bytes: Vec<u8>,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
    }

    /// Returns an empty buffer for one message.
    pub fn buffer(&self) -> BudgetBuffer {
        BudgetBuffer { budget: self.clone(), bytes: Vec::new() }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns whether a message of this length may be read now.
    pub fn has_room(&self, bytes: usize) -> bool {
        bytes <= self.allowance(0)
    }

    /// Returns the most bytes that a message may have that is charged with `own` bytes.
    fn allowance(&self, own: usize) -> usize {
        let left = self.limit.saturating_sub(self.used().saturating_sub(own));
        (left / 3 * 2).max(MIN_BYTES)
    }
}

impl BudgetBuffer {
    /// Appends bytes to the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message would take more than its part of the memory.
    pub fn extend(&mut self, data: &[u8]) -> Result<(), BudgetExceeded> {
        let (length, had) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if length > had {
            let allowance = self.budget.allowance(had);
            if length > allowance {
                return Err(BudgetExceeded);
            }
            let wanted = length.max(had + had / 4).min(allowance);
            self.bytes.reserve_exact(wanted - self.bytes.len());
            self.budget.used.fetch_add(self.bytes.capacity() - had, Ordering::Relaxed);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the message has no bytes so far.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the message.
    pub fn freeze(self) -> Bytes {
        if self.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for BudgetBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BudgetBuffer {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes.capacity(), Ordering::Relaxed);
    }
}
