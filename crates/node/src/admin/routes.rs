//! Maps the paths and methods of the admin endpoint to requests.

use super::configuration;
use super::http::Response;
use gradepin_config::admin::{AdminError, query};
use gradepin_core::admin::{AdminRequest, AgreementRequest};
use gradepin_core::configuration::ConfigurationAdminRequest;

const READ: &str = "GET, HEAD";
const WRITE: &str = "POST";
const READ_OR_WRITE: &str = "GET, POST";

/// The endpoint named by a method, a path and a query.
#[derive(Debug, Clone, PartialEq)]
pub enum Endpoint {
    /// A request without a body.
    Request(AdminRequest),
    /// A command for the consensus group, with a JSON body.
    SubmitCommand,
    /// A change of the committed configuration, with a JSON body.
    ApplyConfiguration,
    /// Stages settings for a rollout, with a configuration as body.
    StageSettings,
}

impl Endpoint {
    /// Whether the body of the request is used.
    pub fn takes_body(&self) -> bool {
        !matches!(self, Self::Request(_))
    }
}

/// A path with its allowed methods, and its endpoint or the error response to an invalid query.
struct Resource {
    allow: &'static str,
    endpoint: Result<Endpoint, Response>,
}

impl Resource {
    fn new(allow: &'static str, endpoint: Endpoint) -> Self {
        Self { allow, endpoint: Ok(endpoint) }
    }

    fn request(allow: &'static str, request: AdminRequest) -> Self {
        Self::new(allow, Endpoint::Request(request))
    }

    fn agreement(allow: &'static str, request: AgreementRequest) -> Self {
        Self::request(allow, AdminRequest::Agreement(request))
    }

    fn configuration(allow: &'static str, request: ConfigurationAdminRequest) -> Self {
        Self::request(allow, AdminRequest::Configuration(request))
    }

    fn invalid_query(allow: &'static str, response: Response) -> Self {
        Self { allow, endpoint: Err(response) }
    }
}

/// Returns the endpoint of a method, a path and a query.
///
/// # Errors
/// The response for an unknown path, a method that is not allowed, or an invalid query.
pub fn route(method: &str, path: &str, query: &str) -> Result<Endpoint, Response> {
    let Some(resource) = resource(method, path, query) else {
        let known = "/healthcheck, /stats, /fleet, /healthcheck/fail or /healthcheck/ok";
        return Err(Response::text(404, format!("expected {known}, got {path}\n")));
    };
    let allow = resource.allow;
    if !allow.split(", ").any(|allowed| allowed == method) {
        let mut response = Response::text(405, format!("expected {allow} for {path}, got {method}\n"));
        response.allow = Some(allow);
        return Err(response);
    }
    resource.endpoint
}

fn resource(method: &str, path: &str, query: &str) -> Option<Resource> {
    Some(match path {
        "/healthcheck" => Resource::request(READ, AdminRequest::Health),
        "/stats" => Resource::request(READ, AdminRequest::Stats),
        "/fleet" => Resource::request(READ, AdminRequest::Fleet),
        "/healthcheck/fail" => Resource::request(WRITE, AdminRequest::StartDrain),
        "/healthcheck/ok" => Resource::request(WRITE, AdminRequest::EndDrain),
        "/fleet/status" => Resource::agreement(READ, AgreementRequest::Status),
        "/fleet/order" if method == "GET" => command_status(path, query),
        "/fleet/order" => Resource::new(READ_OR_WRITE, Endpoint::SubmitCommand),
        "/fleet/stage" => Resource::new(WRITE, Endpoint::StageSettings),
        "/fleet/found" => Resource::agreement(WRITE, AgreementRequest::FoundGroup),
        "/fleet/leave" => Resource::agreement(WRITE, AgreementRequest::Leave),
        "/fleet/stay" => Resource::agreement(WRITE, AgreementRequest::Stay),
        "/fleet/wanted" => target_version(path, query),
        "/config/apply" if method == "GET" => request_status(query),
        "/config/apply" => Resource::new(READ_OR_WRITE, Endpoint::ApplyConfiguration),
        "/config/status" => Resource::configuration(READ, ConfigurationAdminRequest::Status),
        _ => return None,
    })
}

fn command_status(path: &str, query: &str) -> Resource {
    match query_value(query, "ticket").and_then(|text| text.parse().ok()) {
        Some(ticket) => Resource::agreement(READ_OR_WRITE, AgreementRequest::CommandStatus { ticket }),
        None => Resource::invalid_query(READ_OR_WRITE, query_error("ticket=1", path, query)),
    }
}

fn target_version(path: &str, query: &str) -> Resource {
    match query_value(query, "name") {
        Some(name) => Resource::agreement(READ, AgreementRequest::TargetVersion { server: name.to_string() }),
        None => Resource::invalid_query(READ, query_error("name=n3", path, query)),
    }
}

fn request_status(query: &str) -> Resource {
    match query::request_id(query) {
        Ok(id) => Resource::configuration(READ_OR_WRITE, ConfigurationAdminRequest::RequestStatus(id)),
        Err(e) => {
            let error = AdminError::BadCall { reason: e.to_string() };
            Resource::invalid_query(READ_OR_WRITE, configuration::error_response(&error))
        }
    }
}

fn query_error(expected: &str, path: &str, query: &str) -> Response {
    Response::text(400, format!("expected {expected}, as in {path}?{expected}, got '{query}'\n"))
}

/// The unescaped value of a name in a query; no valid value needs escapes.
fn query_value<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

#[cfg(test)]
mod tests;
