//! Operators' edits that wait for the log's decision.

use std::collections::VecDeque;

use crate::event::EditAnswer;
use crate::replicated_state::ReplicatedState;
use crate::table::Edit;

/// Edits that this daemon has asked the log for.
#[derive(Debug, Default)]
pub struct PendingEdits {
    waiting: VecDeque<Edit>,
}

impl PendingEdits {
    /// Takes an edit; returns whether it must be appended.
    ///
    /// An edit that the log has decided already is a repeat whose first answer was lost.
    pub fn add(&mut self, edit: Edit, state: &ReplicatedState) -> bool {
        let is_new = state.edit(&edit.id).is_none();
        self.waiting.push_back(edit);
        is_new
    }

    /// Returns the edits that the log has decided, and how.
    pub fn take_decided(&mut self, state: &ReplicatedState) -> Vec<(Edit, EditAnswer)> {
        let mut decided = Vec::new();
        for edit in std::mem::take(&mut self.waiting) {
            let Some(line) = state.edit(&edit.id) else {
                self.waiting.push_back(edit);
                continue;
            };
            let answer = match &line.conflict {
                None => EditAnswer::Accepted(line.position),
                Some(row) => EditAnswer::Conflict(row.clone()),
            };
            decided.push((edit, answer));
        }
        decided
    }
}
