//! When a request was sent, and how long it waited: its time stamp in reference time, as far as its connection lets it be
//! true.

use super::{MS, Reducer};
use crate::messages::{ClientRequest, ConnectionId};
use crate::wall_clock::ClientClock;
use gradepin_admission::{Span, Time};
use slog::Level;

/// Maximum time for which an expired request is sent, and its connection waits to be accepted. Also bounds how far the clock
/// of a client may differ without being noticed.
const MAX_SENDING_DELAY_MS: u64 = 1_000;
/// Maximum time that the first requests of a connection may have waited unread before the connection was reported.
const MAX_UNREAD_BEFORE_OPEN: Span = Span(100 * MS);
/// Maximum number of open requests per connection. If more were left unread, they would hide cancellations and the
/// close of the connection.
const MAX_OPEN_PER_CONNECTION: usize = 32;

/// State of the connection that a request arrived on, as intake needs it.
#[derive(Debug, Clone, Copy)]
pub(super) struct IntakeConnection {
    /// When the connection was accepted.
    pub(super) opened: Time,
    /// End of the latest period in which nothing was read from the connection because of throttling.
    pub(super) throttled_until: Option<Time>,
    /// Number of open requests on the connection.
    pub(super) open_requests: usize,
    /// Whether all new requests from the connection are rejected.
    pub(super) rejects_requests: bool,
    /// The clock of its client.
    pub(super) client_clock: ClientClock,
}

impl IntakeConnection {
    /// Whether as many requests are open as a client may have, or the client was told to send no more.
    pub(super) fn takes_no_requests(&self) -> bool {
        self.rejects_requests || self.open_requests >= MAX_OPEN_PER_CONNECTION
    }
}

impl Reducer {
    /// Converts the client's time stamp to the reference time. A stamp in the future counts as now, or it would retain a
    /// key's run forever. If the request had expired even before its connection existed, the client's clock differs from
    /// all known ones, which is kept for its connection.
    pub(super) fn convert_time_stamp(
        &mut self,
        id: ConnectionId,
        connection: IntakeConnection,
        request: &mut ClientRequest,
    ) {
        let stamp_ms = request.arrived_unix_ms;
        request.arrived_unix_ms = self.wall_clock.to_reference(stamp_ms, connection.client_clock);
        let age_ms = self.timestamp.unix_ms.saturating_sub(request.arrived_unix_ms);
        let connected_ms = self.timestamp.now.0.saturating_sub(connection.opened.0) / MS;
        let expired_ms = age_ms.saturating_sub(connected_ms).saturating_sub(request.budget_ms);
        if expired_ms > MAX_SENDING_DELAY_MS {
            let text = format!(
                "the clock of client proxy {} differs by {age_ms} ms; its requests count as sent when they arrive",
                request.client_proxy
            );
            self.log(Level::Warning, text);
            if let Some(state) = self.connections.get_mut(id) {
                state.client_clock = self.wall_clock.client_clock(stamp_ms);
            }
            request.arrived_unix_ms = self.timestamp.unix_ms;
        }
    }

    /// Returns how long a request waited on this machine before it was read.
    pub(super) fn queued_for(&self, connection: IntakeConnection, arrived_unix_ms: u64) -> Span {
        let by_stamp = Span(self.timestamp.unix_ms.saturating_sub(arrived_unix_ms).saturating_mul(MS));
        // A request can't have waited before its connection existed. Guards against old time stamps that would make
        // requests appear to have waited unread.
        let since_open = Span(self.timestamp.now.0.saturating_sub(connection.opened.0));
        let queued = by_stamp.min(Span(since_open.0.saturating_add(MAX_UNREAD_BEFORE_OPEN.0)));
        // Time in which its connection was throttled doesn't count either. Guards against a flood of requests that
        // would make the server look overloaded and unhealthy although it has time to read.
        match connection.throttled_until {
            Some(until) => queued.min(Span(self.timestamp.now.0.saturating_sub(until.0))),
            None => queued,
        }
    }
}
