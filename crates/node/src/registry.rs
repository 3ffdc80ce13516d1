//! HTTP exchanges with a service registry on two threads, one at a time on each, so that a deregistration doesn't wait
//! for other requests. `gradepin-registry` decides which request is made and when; each exchange is bounded in time and
//! size.

use crate::settings::{RegistrySettings, ServiceUrl};
use base64::Engine;
use crossbeam_channel::{Sender, bounded};
use gradepin_core::messages::Input;
use gradepin_registry::instance::Applications;
use gradepin_registry::membership::{RegistryOperation, RegistryReply, RegistryRequest, RequestLane};
use gradepin_registry::view::Fetch;
use gradepin_registry::wire::{self, Format};
use slog::{Logger, warn};
use std::io;
use std::thread;
use std::time::Duration;
use ureq::http::Response;
use ureq::{Agent, Body, RequestBuilder};

/// The HTTP library uses deep call stacks.
const STACK_BYTES: usize = 1024 * 1024;
/// Requests that can wait for a thread; the registration state machine sends one at a time to each.
const QUEUE_CAPACITY: usize = 4;
/// Maximum size of a response about one instance.
const MAX_INSTANCE_BYTES: u64 = 64 * 1024;
/// Maximum size of a response about all instances: about 20,000 instances.
const MAX_APPLICATIONS_BYTES: u64 = 32 << 20;
/// At most this part of an error is reported.
const MAX_ERROR_CHARS: usize = 200;

/// Percent-encodes a path segment; `n3:8443` stays unchanged.
fn percent_encode(text: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~:".contains(&b);
    text.bytes().map(|b| if is_plain(b) { (b as char).to_string() } else { format!("%{b:02X}") }).collect()
}

/// A client of the registry API at one service URL. It resolves no name if the URL has an address, follows no redirects
/// and reads no response beyond its limit.
pub struct Client {
    agent: Agent,
    url: String,
    authorization: Option<String>,
    format: Format,
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection or the protocol failed, or the request timed out.
    #[error("{0}")]
    Http(Box<ureq::Error>),
    /// The response is not one of the API.
    #[error(transparent)]
    Wire(#[from] wire::WireError),
    /// The registry responded with this status.
    #[error("answered with status {0}")]
    Status(u16),
}

impl From<ureq::Error> for ExchangeError {
    fn from(error: ureq::Error) -> Self {
        Self::Http(Box::new(error))
    }
}

impl Client {
    /// Creates a client of one service URL.
    pub fn new(url: &ServiceUrl, format: Format) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections_per_host(1)
            .user_agent(concat!("gradepin/", env!("CARGO_PKG_VERSION")));
        let basic = |(user, password): &(String, String)| {
            let credentials = format!("{user}:{password}");
            format!("Basic {}", base64::engine::general_purpose::STANDARD.encode(credentials))
        };
        let authorization = url.login.as_ref().map(basic);
        Self { agent: config.build().into(), url: url.url.clone(), authorization, format }
    }

    fn prepare<B>(&self, request: RequestBuilder<B>, timeout: Duration) -> RequestBuilder<B> {
        let request = request.config().timeout_global(Some(timeout)).build();
        let request = request.header("Accept", self.format.media_type());
        match &self.authorization {
            Some(value) => request.header("Authorization", value),
            None => request,
        }
    }

    /// Reads the body of a response with status 200, of at most `max_bytes`.
    fn read(&self, mut response: Response<Body>, max_bytes: u64) -> Result<Vec<u8>, ExchangeError> {
        let status = response.status().as_u16();
        if status != 200 {
            return Err(ExchangeError::Status(status));
        }
        Ok(response.body_mut().with_config().limit(max_bytes).read_to_vec()?)
    }

    /// Fetches all applications or the recent changes.
    pub fn fetch(&self, fetch: Fetch, timeout: Duration) -> Result<Applications, ExchangeError> {
        self.applications(if fetch == Fetch::Full { "apps" } else { "apps/delta" }, timeout)
    }

    /// Fetches the instances of one application.
    pub fn application(&self, app: &str, timeout: Duration) -> Result<Applications, ExchangeError> {
        self.applications(&format!("apps/{}", percent_encode(app)), timeout)
    }

    /// Fetches the instances with one VIP address.
    pub fn vip(&self, vip: &str, timeout: Duration) -> Result<Applications, ExchangeError> {
        self.applications(&format!("vips/{}", percent_encode(vip)), timeout)
    }

    fn applications(&self, path: &str, timeout: Duration) -> Result<Applications, ExchangeError> {
        let response = self.prepare(self.agent.get(format!("{}/{path}", self.url)), timeout).call()?;
        let bytes = self.read(response, MAX_APPLICATIONS_BYTES)?;
        Ok(wire::read_applications(&bytes, self.format)?)
    }

    /// Sets one key of an instance's metadata.
    pub fn metadata(
        &self,
        app: &str,
        id: &str,
        key: &str,
        value: &str,
        timeout: Duration,
    ) -> Result<(), ExchangeError> {
        let (app, id) = (percent_encode(app), percent_encode(id));
        let url = format!(
            "{}/apps/{app}/{id}/metadata?{}={}",
            self.url,
            percent_encode(key),
            percent_encode(value)
        );
        self.read(self.prepare(self.agent.put(url), timeout).send_empty()?, MAX_INSTANCE_BYTES).map(drop)
    }

    /// Executes one operation on the registration of the instance `id`.
    pub fn ask(&self, app: &str, id: &str, op: &RegistryOperation, timeout: Duration) -> RegistryReply {
        self.exchange(app, id, op, timeout).unwrap_or_else(|error| match error {
            ExchangeError::Status(404) => RegistryReply::NotFound,
            ExchangeError::Status(status) if status < 500 => RegistryReply::Rejected(status),
            other => RegistryReply::Failed(other.to_string().chars().take(MAX_ERROR_CHARS).collect()),
        })
    }

    fn exchange(
        &self,
        app: &str,
        id: &str,
        op: &RegistryOperation,
        timeout: Duration,
    ) -> Result<RegistryReply, ExchangeError> {
        let (apps, agent) = (format!("{}/apps/{}", self.url, percent_encode(app)), &self.agent);
        let own = format!("{apps}/{}", percent_encode(id));
        let status_url = |status: &dyn std::fmt::Display, dirty: &u64| {
            format!("{own}/status?value={status}&lastDirtyTimestamp={dirty}")
        };
        let response = match op {
            RegistryOperation::Register(instance) => {
                let request = self.prepare(agent.post(apps), timeout);
                let request = request.header("Content-Type", self.format.media_type());
                request.send(&wire::write_instance(instance, self.format)[..])?
            }
            RegistryOperation::Heartbeat { status, dirty_ms } => {
                let url = format!("{own}?status={status}&lastDirtyTimestamp={dirty_ms}");
                self.prepare(agent.put(url), timeout).send_empty()?
            }
            RegistryOperation::Override { status, dirty_ms } => {
                self.prepare(agent.put(status_url(status, dirty_ms)), timeout).send_empty()?
            }
            RegistryOperation::ClearOverride { status, dirty_ms } => {
                self.prepare(agent.delete(status_url(status, dirty_ms)), timeout).call()?
            }
            RegistryOperation::FetchOwnRecord => {
                let response = self.prepare(agent.get(own), timeout).call()?;
                let bytes = self.read(response, MAX_INSTANCE_BYTES)?;
                return Ok(RegistryReply::Record(Box::new(wire::read_instance(&bytes, self.format)?)));
            }
            RegistryOperation::Cancel => self.prepare(agent.delete(own), timeout).call()?,
        };
        let status = response.status().as_u16();
        if !(200..300).contains(&status) {
            return Err(ExchangeError::Status(status));
        }
        // The body is ignored, but the connection can't be reused until it is read.
        let mut response = response;
        response.body_mut().with_config().limit(MAX_INSTANCE_BYTES).read_to_vec()?;
        Ok(RegistryReply::Done)
    }
}

/// The main thread's handle to the registry threads.
pub struct Registry {
    routine: Sender<RegistryRequest>,
    /// Queue of deregistrations.
    urgent: Sender<RegistryRequest>,
    log: Logger,
}

impl Registry {
    /// Starts the threads; each reply is sent to `inputs`. `instance_id` is the id of this server's instance.
    pub fn start(
        settings: &RegistrySettings,
        instance_id: &str,
        inputs: &Sender<Input>,
        log: &Logger,
    ) -> io::Result<Self> {
        let lane = |thread_name: &str| start_lane(thread_name, settings, instance_id, inputs);
        Ok(Self { routine: lane("registry")?, urgent: lane("registry-leave")?, log: log.clone() })
    }

    /// Queues a request; never blocks. If the queue is full, the request is dropped and repeated later.
    pub fn ask(&self, request: RegistryRequest) {
        let lane = if request.lane == RequestLane::Urgent { &self.urgent } else { &self.routine };
        if lane.try_send(request).is_err() {
            warn!(self.log, "registry request dropped: queue is full; it is repeated later";
                  "capacity" => QUEUE_CAPACITY);
        }
    }
}

fn start_lane(
    thread_name: &str,
    settings: &RegistrySettings,
    instance_id: &str,
    inputs: &Sender<Input>,
) -> io::Result<Sender<RegistryRequest>> {
    let (requests, queue) = bounded::<RegistryRequest>(QUEUE_CAPACITY);
    let clients: Vec<Client> = settings.urls.iter().map(|url| Client::new(url, settings.format)).collect();
    let (app, instance_id, inputs) = (settings.app.clone(), instance_id.to_string(), inputs.clone());
    let run = move || {
        for request in queue {
            let Some(client) = clients.get(request.url) else { continue };
            let timeout = Duration::from_nanos(request.timeout.0);
            let reply = client.ask(&app, &instance_id, &request.operation, timeout);
            if inputs.send(Input::RegistryReply { ticket: request.ticket, reply }).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name(thread_name.into()).stack_size(STACK_BYTES).spawn(run)?;
    Ok(requests)
}
