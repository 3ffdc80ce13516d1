//! Refusals of keyed attempts. A refusal promises that the attempt's operation never ran, which includes runs in the
//! other process of an upgrade.

use super::Reducer;
use gradepin_admission::RequestId;
use slog::Level;

impl Reducer {
    /// Logs the first refusal of a keyed attempt while the two processes of an upgrade share their keyed runs, with what
    /// this process knows about the key.
    pub(super) fn log_first_keyed_refusal(&mut self, id: &RequestId) {
        if !self.pending_claims.is_enabled() || self.keyed_refusal_logged {
            return;
        }
        let Some(open) = self.requests.get(id) else { return };
        let Some(key) = &open.idempotency_key else { return };
        let ran_here = self.idempotency_table.has_run(key, open.arrived_unix_ms);
        self.keyed_refusal_logged = true;
        let text = format!(
            "refusing the keyed request {} as never run; known to have run here: {ran_here}; the other process of an \
             upgrade was not asked. Further refusals are not logged",
            id.0
        );
        self.log(Level::Info, text);
    }
}
