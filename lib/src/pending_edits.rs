//! Operators' edits that await the log's decision.

use std::collections::VecDeque;

use crate::event::EditAnswer;
use crate::replicated_state::ReplicatedState;
use crate::table::Edit;

/// Edits of one daemon that the log has not decided yet.
#[derive(Debug, Default)]
pub struct PendingEdits {
    pending: VecDeque<Edit>,
}

impl PendingEdits {
    /// Adds an edit; returns whether it must be appended to the log.
    ///
    /// If the log has decided the edit already, the caller retries because it did not receive the
    /// first answer.
    pub fn add(&mut self, edit: Edit, state: &ReplicatedState) -> bool {
        let is_new = state.edit(&edit.id).is_none();
        self.pending.push_back(edit);
        is_new
    }

    /// Removes and returns the edits that the log has decided, with their answers.
    pub fn take_decided(&mut self, state: &ReplicatedState) -> Vec<(Edit, EditAnswer)> {
        let mut decided = Vec::new();
        for edit in std::mem::take(&mut self.pending) {
            let Some(entry) = state.edit(&edit.id) else {
                self.pending.push_back(edit);
                continue;
            };
            let answer = match &entry.conflict {
                None => EditAnswer::Accepted(entry.position),
                Some(row) => EditAnswer::Conflict(row.clone()),
            };
            decided.push((edit, answer));
        }
        decided
    }
}
