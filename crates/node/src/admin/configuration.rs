//! The committed configuration at the door: calls and responses as JSON, with the types of [`gradepin_config::admin`].

use super::http::Response;
use gradepin_config::admin::{AdminError, ApplyReply};
use gradepin_core::configuration::ConfigurationAdminResponse;
use serde::Serialize;

/// The response to a call about the configuration.
pub fn response(answer: &ConfigurationAdminResponse) -> Response {
    match answer {
        ConfigurationAdminResponse::Apply(reply @ ApplyReply::Pending { .. }) => json(202, reply),
        ConfigurationAdminResponse::Apply(reply) => json(200, reply),
        ConfigurationAdminResponse::Status(status) => json(200, status),
        ConfigurationAdminResponse::Rejected(refusal) => refused(refusal),
    }
}

/// The response to a call that changed nothing.
pub fn refused(refusal: &AdminError) -> Response {
    json(refusal.status(), refusal)
}

fn json(status: u16, body: &impl Serialize) -> Response {
    let body = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::text(status, format!("{body}\n"));
    response.content_type = "application/json";
    response
}
