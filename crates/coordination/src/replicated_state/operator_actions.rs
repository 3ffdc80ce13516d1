//! A bounded history of operator actions, which the status shows to other operators.

use super::ReplicatedState;
use crate::ids::{LogIndex, MAX_TEXT_BYTES, Name};
use serde::{Deserialize, Serialize};

/// Maximum operator actions in the history.
pub(super) const MAX_OPERATOR_ACTIONS: usize = 64;

/// An action of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorAction {
    /// Index of the log entry that applied the action.
    pub index: LogIndex,
    /// Name of the operator.
    #[serde(rename = "by")]
    pub operator: Name,
    /// Description of the action. Voters must agree on it byte for byte, as it is part of the replicated state.
    #[serde(rename = "what")]
    pub action: String,
    /// Reason that the operator gave, cut to [`MAX_TEXT_BYTES`].
    #[serde(rename = "why")]
    pub reason: String,
}

impl ReplicatedState {
    /// Records an operator's action and drops the oldest beyond [`MAX_OPERATOR_ACTIONS`].
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
