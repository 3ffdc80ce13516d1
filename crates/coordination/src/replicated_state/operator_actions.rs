//! The last actions of operators, for the operator who looks next.

use super::ReplicatedState;
use crate::ids::{LogIndex, MAX_TEXT_BYTES, Name};
use serde::{Deserialize, Serialize};

/// Operator actions that are kept.
pub(super) const MAX_OPERATOR_ACTIONS: usize = 64;

/// What an operator did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorAction {
    /// The index of its entry.
    pub index: LogIndex,
    /// The operator.
    #[serde(rename = "by")]
    pub operator: Name,
    /// The action, in words.
    #[serde(rename = "what")]
    pub action: String,
    /// The operator's reason, at most [`MAX_TEXT_BYTES`].
    #[serde(rename = "why")]
    pub reason: String,
}

impl ReplicatedState {
    /// Records an operator's action; the oldest is dropped past [`MAX_OPERATOR_ACTIONS`].
    pub(super) fn record_action(
        &mut self,
        index: LogIndex,
        operator: Name,
        action: String,
        mut reason: String,
    ) {
        reason.truncate(reason.floor_char_boundary(MAX_TEXT_BYTES));
        self.operator_actions.push_back(OperatorAction { index, operator, action, reason });
        while self.operator_actions.len() > MAX_OPERATOR_ACTIONS {
            self.operator_actions.pop_front();
        }
    }
}
