//! HTTP exchanges with a service registry, one after another on each of two threads: a deregistration waits for no other
//! request. Which request is made and when is decided by `gradepin-registry`; an exchange here is bounded in time and size.

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

/// The HTTP library nests its calls deeply.
const STACK_BYTES: usize = 1024 * 1024;
/// Requests that wait for a thread; the state machine gives one at a time to each.
const QUEUE_CAPACITY: usize = 4;
/// The largest response about one instance that is read.
const MAX_INSTANCE_BYTES: u64 = 64 * 1024;
/// The largest response about all instances that is read: some 20,000 instances.
const MAX_APPLICATIONS_BYTES: u64 = 32 << 20;
/// The part of an error that is reported.
const MAX_ERROR_CHARS: usize = 200;

/// Percent-encodes a path segment; `n3:8443` stays as it is.
fn escape(text: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~:".contains(&b);
    text.bytes().map(|b| if is_plain(b) { (b as char).to_string() } else { format!("%{b:02X}") }).collect()
}

/// A client of the registry API at one service URL. It resolves no names where the URL holds an address, follows no
/// redirect and reads no response beyond its bound.
pub struct Client {
    agent: Agent,
    url: String,
    authorization: Option<String>,
    format: Format,
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection or the protocol failed, or the time ran out.
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
    /// A client of one service URL.
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

    /// The body of a response with status 200, of at most `max_bytes`.
    fn read(&self, mut response: Response<Body>, max_bytes: u64) -> Result<Vec<u8>, ExchangeError> {
        let status = response.status().as_u16();
        if status != 200 {
            return Err(ExchangeError::Status(status));
        }
        Ok(response.body_mut().with_config().limit(max_bytes).read_to_vec()?)
    }

    /// All applications, or the recent changes.
    pub fn fetch(&self, fetch: Fetch, timeout: Duration) -> Result<Applications, ExchangeError> {
        self.applications(if fetch == Fetch::Full { "apps" } else { "apps/delta" }, timeout)
    }

    /// The instances of one application.
    pub fn application(&self, app: &str, timeout: Duration) -> Result<Applications, ExchangeError> {
        self.applications(&format!("apps/{}", escape(app)), timeout)
    }

    /// The instances under one VIP address.
    pub fn vip(&self, vip: &str, timeout: Duration) -> Result<Applications, ExchangeError> {
        self.applications(&format!("vips/{}", escape(vip)), timeout)
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
        let (app, id) = (escape(app), escape(id));
        let url = format!("{}/apps/{app}/{id}/metadata?{}={}", self.url, escape(key), escape(value));
        self.read(self.prepare(self.agent.put(url), timeout).send_empty()?, MAX_INSTANCE_BYTES).map(drop)
    }

    /// Carries out one operation on a server's own registration.
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
        let (apps, agent) = (format!("{}/apps/{}", self.url, escape(app)), &self.agent);
        let own = format!("{apps}/{}", escape(id));
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
        // The body has no meaning, but the connection can't be used again before it is read.
        let mut response = response;
        response.body_mut().with_config().limit(MAX_INSTANCE_BYTES).read_to_vec()?;
        Ok(RegistryReply::Done)
    }
}

/// The threads of the registry, as the main thread uses them.
pub struct Registry {
    routine: Sender<RegistryRequest>,
    /// For deregistrations.
    urgent: Sender<RegistryRequest>,
    log: Logger,
}

impl Registry {
    /// Starts the threads; each reply becomes an input. `instance_id` names this server's instance.
    pub fn start(
        settings: &RegistrySettings,
        instance_id: &str,
        inputs: &Sender<Input>,
        log: &Logger,
    ) -> io::Result<Self> {
        let lane = |thread_name: &str| start_lane(thread_name, settings, instance_id, inputs);
        Ok(Self { routine: lane("registry")?, urgent: lane("registry-leave")?, log: log.clone() })
    }

    /// Queues a request; never blocks. A request that finds its queue full is dropped, and made again later.
    pub fn ask(&self, request: RegistryRequest) {
        let lane = if request.lane == RequestLane::Urgent { &self.urgent } else { &self.routine };
        if lane.try_send(request).is_err() {
            warn!(self.log, "registry request dropped: queue is full"; "capacity" => QUEUE_CAPACITY);
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
