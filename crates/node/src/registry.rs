//! HTTP to a registry: one exchange after another on two threads, so that leaving waits for nothing else. What is asked
//! and when is `gradepin-registry`'s; this only carries it, bounded in time and size.

use crate::settings::{RegistrySettings, ServiceUrl};
use base64::Engine;
use crossbeam_channel::{Sender, bounded};
use gradepin_admission::Span;
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

/// The library keeps its buffers on the heap, but nests its calls.
const STACK: usize = 1024 * 1024;
/// Questions that wait for a thread; the state machine puts one at a time to each.
const QUEUE: usize = 4;
/// The largest answer about one instance that is read.
const MOST_RECORD: u64 = 64 * 1024;
/// And about all of them: some 20,000.
const MOST_APPLICATIONS: u64 = 32 << 20;

fn millis(span: Span) -> Duration {
    Duration::from_nanos(span.0)
}

/// `n3:8443` as it stands in a path.
fn escape(text: &str) -> String {
    let keep = |b: u8| b.is_ascii_alphanumeric() || b"-._~:".contains(&b);
    text.bytes().map(|b| if keep(b) { (b as char).to_string() } else { format!("%{b:02X}") }).collect()
}

/// A client of the registry API at one service URL. It resolves no names where the URL holds an address, follows no
/// redirect and reads no answer beyond its bound.
pub struct Client {
    agent: Agent,
    url: String,
    authorization: Option<String>,
    format: Format,
}

/// Why an exchange brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection, the protocol or the time.
    #[error("{0}")]
    Http(Box<ureq::Error>),
    /// The answer is none of the API.
    #[error(transparent)]
    Wire(#[from] wire::WireError),
    /// The registry answered with this status.
    #[error("answered with status {0}")]
    Status(u16),
}

impl From<ureq::Error> for ExchangeError {
    fn from(error: ureq::Error) -> Self {
        Self::Http(Box::new(error))
    }
}

impl Client {
    /// For one service URL.
    pub fn new(url: &ServiceUrl, format: Format) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections_per_host(1)
            .user_agent(concat!("gradepin/", env!("CARGO_PKG_VERSION")));
        let login = |(user, password): &(String, String)| {
            format!(
                "Basic {}",
                base64::engine::general_purpose::STANDARD.encode(format!("{user}:{password}"))
            )
        };
        let authorization = url.login.as_ref().map(login);
        Self { agent: config.build().into(), url: url.url.clone(), authorization, format }
    }

    fn prepared<B>(&self, request: RequestBuilder<B>, timeout: Duration) -> RequestBuilder<B> {
        let request = request.config().timeout_global(Some(timeout)).build();
        let request = request.header("Accept", self.format.media_type());
        match &self.authorization {
            Some(value) => request.header("Authorization", value),
            None => request,
        }
    }

    fn read(&self, mut response: Response<Body>, most: u64) -> Result<Vec<u8>, ExchangeError> {
        let status = response.status().as_u16();
        if status != 200 {
            return Err(ExchangeError::Status(status));
        }
        Ok(response.body_mut().with_config().limit(most).read_to_vec()?)
    }

    /// Everything, or what changed of late.
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
        let response = self.prepared(self.agent.get(format!("{}/{path}", self.url)), timeout).call()?;
        let bytes = self.read(response, MOST_APPLICATIONS)?;
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
        self.read(self.prepared(self.agent.put(url), timeout).send_empty()?, MOST_RECORD).map(drop)
    }

    /// Puts one question of a server's own registration.
    pub fn ask(&self, app: &str, id: &str, op: &RegistryOperation, timeout: Duration) -> RegistryReply {
        self.exchange(app, id, op, timeout).unwrap_or_else(|error| match error {
            ExchangeError::Status(404) => RegistryReply::NotFound,
            ExchangeError::Status(status) if status < 500 => RegistryReply::Rejected(status),
            other => RegistryReply::Failed(other.to_string().chars().take(200).collect()),
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
                let request = self.prepared(agent.post(apps), timeout);
                let request = request.header("Content-Type", self.format.media_type());
                request.send(&wire::write_instance(instance, self.format)[..])?
            }
            RegistryOperation::Heartbeat { status, dirty_ms } => {
                let url = format!("{own}?status={status}&lastDirtyTimestamp={dirty_ms}");
                self.prepared(agent.put(url), timeout).send_empty()?
            }
            RegistryOperation::Override { status, dirty_ms } => {
                self.prepared(agent.put(status_url(status, dirty_ms)), timeout).send_empty()?
            }
            RegistryOperation::ClearOverride { status, dirty_ms } => {
                self.prepared(agent.delete(status_url(status, dirty_ms)), timeout).call()?
            }
            RegistryOperation::FetchOwnRecord => {
                let response = self.prepared(agent.get(own), timeout).call()?;
                let bytes = self.read(response, MOST_RECORD)?;
                return Ok(RegistryReply::Record(Box::new(wire::read_instance(&bytes, self.format)?)));
            }
            RegistryOperation::Cancel => self.prepared(agent.delete(own), timeout).call()?,
        };
        let status = response.status().as_u16();
        if !(200..300).contains(&status) {
            return Err(ExchangeError::Status(status));
        }
        // What is left of the answer says nothing, but keeps the connection from use; it is bounded like any other.
        let mut response = response;
        response.body_mut().with_config().limit(MOST_RECORD).read_to_vec()?;
        Ok(RegistryReply::Done)
    }
}

/// The registry, as the reducer's effects see it.
pub struct Registry {
    routine: Sender<RegistryRequest>,
    urgent: Sender<RegistryRequest>,
    log: Logger,
}

impl Registry {
    /// Carries questions from now on, and sends what comes of them as inputs.
    pub fn start(set: &RegistrySettings, id: &str, inputs: &Sender<Input>, log: &Logger) -> io::Result<Self> {
        let lane = |name: &str| -> io::Result<Sender<RegistryRequest>> {
            let (asks, queue) = bounded::<RegistryRequest>(QUEUE);
            let clients: Vec<Client> = set.urls.iter().map(|url| Client::new(url, set.format)).collect();
            let (app, id, inputs) = (set.app.clone(), id.to_string(), inputs.clone());
            let carry = move || {
                for ask in queue {
                    let Some(client) = clients.get(ask.url) else { continue };
                    let reply = client.ask(&app, &id, &ask.operation, millis(ask.timeout));
                    if inputs.send(Input::RegistryReply(ask.ticket, reply)).is_err() {
                        return;
                    }
                }
            };
            thread::Builder::new().name(name.into()).stack_size(STACK).spawn(carry)?;
            Ok(asks)
        };
        Ok(Self { routine: lane("registry")?, urgent: lane("registry-leave")?, log: log.clone() })
    }

    /// Takes a question; it never blocks. One that finds its queue full counts as lost, and is asked again.
    pub fn ask(&self, ask: RegistryRequest) {
        let lane = if ask.lane == RequestLane::Urgent { &self.urgent } else { &self.routine };
        if lane.try_send(ask).is_err() {
            warn!(self.log, "a question to the registry found no room");
        }
    }
}
