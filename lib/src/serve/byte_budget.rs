//! Memory for messages that are read whole, shared by all connections of a daemon.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use thiserror::Error;

/// Bytes that each message may have, however little memory is left: usual messages go on while large ones are refused.
const MIN_BYTES: usize = 16 * 1024;

/// Most bytes by which a message grows beyond what it needs.
const MAX_SPARE: usize = 256 * 1024;

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
///
/// It grows by parts: a single buffer that grows leaves holes of its former sizes in the heap, which many of them together
/// cannot use.
#[derive(Debug)]
pub struct BudgetBuffer {
    budget: ByteBudget,
    /// All but the last are full.
    parts: Vec<Vec<u8>>,
    length: usize,
    /// Sum of the capacities of the parts; what the budget is charged with.
    charged: usize,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
    }

    /// Returns an empty buffer for one message.
    pub fn buffer(&self) -> BudgetBuffer {
        BudgetBuffer { budget: self.clone(), parts: Vec::new(), length: 0, charged: 0 }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns whether a message of this length may be read now.
    pub fn has_room(&self, bytes: usize) -> bool {
        bytes <= self.allowance(0)
    }

    /// Returns the most bytes that a message may have while there is no other.
    pub fn longest(&self) -> usize {
        Self::allowed_of(self.limit)
    }

    /// Returns the most bytes that a message may have that is charged with `own` bytes.
    fn allowance(&self, own: usize) -> usize {
        Self::allowed_of(self.limit.saturating_sub(self.used().saturating_sub(own)))
    }

    fn allowed_of(left: usize) -> usize {
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
        let room = self.charged - self.length;
        if data.len() > room {
            let allowance = self.budget.allowance(self.charged);
            let wanted = self.length + data.len();
            if wanted > allowance {
                return Err(BudgetExceeded);
            }
            let (fitting, rest) = data.split_at(room);
            self.fill(fitting);
            let spare = (self.length / 4).min(MAX_SPARE);
            self.add_part(rest.len().max(spare).min(allowance - self.charged));
            self.fill(rest);
        } else {
            self.fill(data);
        }
        Ok(())
    }

    /// Appends bytes for which the last part has room.
    fn fill(&mut self, data: &[u8]) {
        if let Some(part) = self.parts.last_mut() {
            part.extend_from_slice(data);
            self.length += data.len();
        }
    }

    fn add_part(&mut self, capacity: usize) {
        let part = Vec::with_capacity(capacity);
        self.charged += part.capacity();
        self.budget.used.fetch_add(part.capacity(), Ordering::Relaxed);
        self.parts.push(part);
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the message has no bytes so far.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the message.
    pub fn freeze(mut self) -> Bytes {
        if self.parts.len() > 1 {
            let whole = self.parts.concat();
            self.charge(whole.capacity());
            self.parts = vec![whole];
        }
        if self.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }

    /// Replaces what the budget is charged with for this message.
    fn charge(&mut self, bytes: usize) {
        self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        self.budget.used.fetch_sub(self.charged, Ordering::Relaxed);
        self.charged = bytes;
    }
}

/// The bytes of a frozen message, which has one part.
impl AsRef<[u8]> for BudgetBuffer {
    fn as_ref(&self) -> &[u8] {
        self.parts.first().map_or(&[], Vec::as_slice)
    }
}

impl Drop for BudgetBuffer {
    fn drop(&mut self) {
        self.charge(0);
    }
}
