//! Responses about the committed configuration, as JSON of the types in [`gradepin_config::admin`].

use super::http::Response;
use gradepin_config::admin::{AdminError, ApplyReply};
use gradepin_core::configuration::ConfigurationAdminResponse;
use serde::Serialize;

/// Converts a response of the reducer to an HTTP response.
pub(super) fn response(answer: &ConfigurationAdminResponse) -> Response {
    match answer {
        ConfigurationAdminResponse::Apply(reply @ ApplyReply::Pending { .. }) => json(202, reply),
        ConfigurationAdminResponse::Apply(reply) => json(200, reply),
        ConfigurationAdminResponse::Status(status) => json(200, status),
        ConfigurationAdminResponse::Rejected(error) => error_response(error),
    }
}

/// Builds the HTTP response to a rejected or invalid request.
pub(super) fn error_response(error: &AdminError) -> Response {
    json(error.status(), error)
}

fn json(status: u16, body: &impl Serialize) -> Response {
    let body = serde_json::to_string(body).unwrap_or_default();
    Response::json(status, format!("{body}\n"))
}
