//! Maps responses of the reducer to HTTP responses.

use super::http::Response;
use super::{agreements, configuration, exposition, fleet};
use gradepin_core::admin::AdminResponse;

/// Converts a response of the reducer to an HTTP response.
pub fn response(answer: AdminResponse) -> Response {
    match answer {
        AdminResponse::Health(Ok(())) => Response::text(200, "ready\n"),
        AdminResponse::Health(Err(reason)) => Response::text(503, format!("not ready: {}\n", reason.word())),
        AdminResponse::Stats(metrics) => {
            let mut response = Response::text(200, exposition::text(&metrics));
            response.content_type = exposition::CONTENT_TYPE;
            response
        }
        AdminResponse::Fleet(Some(view)) => Response::json(200, fleet::view_json(&view)),
        AdminResponse::Fleet(None) => Response::text(404, "this server takes no part in a fleet\n"),
        AdminResponse::Configuration(answer) => configuration::response(&answer),
        AdminResponse::Agreement(answer) => agreements::response(&answer),
        AdminResponse::DrainState { draining: true, .. } => Response::text(200, "draining\n"),
        AdminResponse::DrainState { draining: false, .. } => Response::text(200, "serving\n"),
    }
}
