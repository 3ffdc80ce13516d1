//! Joins the parts: the one thread that owns the reducer, and carries out what it asks for.

use crate::admin::Admin;
use crate::claims::{Claims, Place};
use crate::clock::Clock;
use crate::configuration_service::{self, ConfigurationService, ConfigurationStartError};
use crate::control::Control;
use crate::descriptors;
pub use crate::fleet_start::fleet_settings;
use crate::fleet_start::part_settings;
use crate::frontend::scgi::Scgi;
use crate::frontend::scgi::routes::{BadRoute, Routes};
use crate::frontend::thrift::Thrift;
use crate::frontend::{Frontend, Listener, Protocol};
use crate::inherited_listener::{self, InheritedListener, InheritedListenerError};
use crate::peer_datagrams::{PeerDatagrams, SharedKeys};
use crate::predecessor_wait::PredecessorWait;
use crate::processor::Processor;
use crate::registry::Registry;
use crate::reload::{ConfigReloader, ReloadTargets};
use crate::settings::cluster::{self, KeysError};
use crate::settings::{ActiveSettings, OperatorSettings};
use crate::signals::Signals;
use crate::staging::StagingArea;
use crate::store::{self, Store};
use crate::upstream_client::UpstreamClient;
use crate::voter_storage::VoterStorage;
use crossbeam_channel::{Sender, bounded, never, select};
use gradepin_admission::{Outcome, Settings, Span, UpstreamKind};
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_cluster::cluster::Cluster;
use gradepin_cluster::peer::MAX_NAME_BYTES;
use gradepin_coordination::server_agent::ServerAgent;
use gradepin_core::buffer_pool::{BUFFER_BYTES, BufferPool};
use gradepin_core::config::{Config, ConfigError};
use gradepin_core::idempotency_log::IdempotencyLog;
use gradepin_core::messages::{Effect, Input};
use gradepin_core::reducer::{Reducer, cell_names};
use gradepin_core::registration::Registration;
use gradepin_registry::membership::Membership;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1, SIGUSR2, SIGXFSZ};
use slog::{Level, Logger, error, info, warn};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::Duration;

/// Inputs from clients that may wait for the reducer; more hold their readers back. It is short, so that one who
/// sends at full speed delays the others by little.
const QUEUE: usize = 128;
/// Those from the processor and signals wait in a queue of their own, which no client fills.
const URGENT: usize = 1024;
/// Datagrams of other servers have one too; what finds no room there is dropped.
const LETTERS: usize = 512;
/// Free buffers kept at the most, some 9 MB, and the part of the memory that they may take where that is less.
const POOL: usize = 2048;
const POOL_PART: usize = 16;
/// How long a start waits for the store to be read before it serves all else; requests wait in the sockets meanwhile.
const STORE_PATIENCE: Duration = Duration::from_millis(500);
const SIGNAL_STACK: usize = 64 * 1024;
/// Calls to the ledger at a time where a reload was the first to ask for any: what was kept back at the start has room for
/// no more descriptors.
const LATE_CALLS: usize = 4;

/// Why a server can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A route of the settings can't be used.
    #[error(transparent)]
    Route(#[from] BadRoute),
    /// The fleet's keys can't be used.
    #[error(transparent)]
    Keys(#[from] KeysError),
    /// The server's name can't stand in a datagram.
    #[error("expected a name of {MAX_NAME_BYTES} bytes at the most for a fleet, got '{0}'")]
    Name(String),
    /// A voter has no disk.
    #[error("{0} is a voter of the council, and its settings name no folder for it")]
    Voter(String),
    /// The configuration service can't start.
    #[error(transparent)]
    Configuration(#[from] ConfigurationStartError),
    /// What was handed over can't be used.
    #[error(transparent)]
    Handed(#[from] InheritedListenerError),
    /// The system denies something.
    #[error("{what}: {why}")]
    System {
        /// For what.
        what: String,
        /// What the system says.
        why: std::io::Error,
    },
}

/// Where the process reads again what it was told, and what its program is called.
#[derive(Debug, Clone)]
pub struct Files {
    /// The configuration.
    pub config: PathBuf,
    /// Our own settings, where there are any.
    pub own: Option<PathBuf>,
    /// The version of the program, as a release names it.
    pub version: String,
}

impl StartError {
    /// What the system denies.
    fn system(what: &str) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.to_string();
        move |why| Self::System { what, why }
    }
}

/// From here on signals are taken and not acted on by the system: a notice to leave that comes in the middle of a start is
/// taken as one and ends nothing that already waits in a socket, and an order to read the files again, or to go out of
/// service, ends no process that is still reading them for the first time. A write past the limit on the size of files, of
/// the log for one, fails as a write to a full disk does, and ends no process.
pub fn signals() -> Result<Signals, StartError> {
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map_err(StartError::system("signals"))?;
    Signals::new(&[SIGTERM, SIGHUP, SIGUSR1, SIGUSR2]).map_err(StartError::system("signals"))
}

/// Serves until the process is told to leave and its time is up.
pub fn serve(
    mut config: Config,
    own: OperatorSettings,
    files: Files,
    handed: InheritedListener,
    signals: Signals,
    log: &Logger,
) -> Result<(), StartError> {
    let failed = StartError::system;
    descriptors::settle(&mut config.limits, log);
    for warning in &own.warnings {
        warn!(log, "an old name in the settings: {}", warning);
    }
    config.admin_addr = handed.admin_addr.or(config.admin_addr);
    config.lends = own.cluster.as_ref().is_some_and(|set| set.leases.is_some());
    // The second process of an upgrade takes no part in the fleet, so nobody would tell it of changes.
    let service_set = own.configuration.as_ref().filter(|_| handed.accept_fd.is_none());
    if service_set.is_none() && own.configuration.is_some() {
        warn!(log, "on an inherited listener the configuration service is off, and the start file holds");
    }
    // What the process before this one has until its end. The store is waited for by its own thread.
    let councils = own.council.as_ref().filter(|_| handed.accept_fd.is_none() && own.cluster.is_some());
    let councils = councils.and_then(|set| set.folder.as_deref());
    let configurations = service_set.and_then(|set| set.folder.as_deref());
    if !PredecessorWait::new(&signals, log).folders_are_free(councils.into_iter().chain(configurations)) {
        return Ok(());
    }
    let service = service_set
        .map(|set| ConfigurationService::open(set, own.council.as_ref(), &mut config, log))
        .transpose()?;
    let names = cell_names(&config.settings);
    let store_limits = own.store.as_ref().map(|set| set.limits(&config));
    let window = longest_window(&config.settings);
    // From here on the reducer has the classes and tenants, once, shared with the fronts.
    let (rest, classes, tenants) = std::mem::take(&mut config.settings).split();
    config.settings = rest;
    let settings = Arc::new(config.settings.clone());
    let live = ActiveSettings::of(&classes, &tenants);
    let clock = Clock::start();
    let seed = config.seed()?;
    let membership = own.registry.as_ref().map(|set| set.membership(&config));
    let id = membership.as_ref().map(|set| set.instance.id.clone()).unwrap_or_default();
    let membership = membership.map(|set| Membership::new(set, seed, clock.read().now));
    let registration = Registration::new(membership, own.leave_hold);
    let mut reducer = Reducer::with_definitions(&config, classes, tenants, registration)?;
    if handed.accept_fd.is_some() {
        reducer = reducer.sharing_listener();
    }
    let pool = BufferPool::new(POOL.min(config.memory(POOL_PART) / BUFFER_BYTES));
    if let Some(set) = &own.store {
        reducer = reducer.with_store(IdempotencyLog::opening(set.patience), Arc::clone(&pool));
    }
    let (inputs, queue) = bounded(QUEUE);
    let (urgently, urgent) = bounded(URGENT);
    // A store does it alone: it has one owner, and a process refuses keyed requests until it has taken it over.
    let shared_folder = handed.shared_folder.as_ref().filter(|_| own.store.is_none());
    let claims = shared_folder.map(|folder| {
        let place = Place::new(folder, &config.name, seed, config.memory(1));
        Claims::start(place, window, urgently.clone(), Arc::clone(&pool), log.clone())
    });
    let claims = claims.transpose().map_err(failed("the thread of keyed runs"))?;
    if let Some(claims) = &claims {
        reducer = reducer.sharing_runs(claims.salt());
    } else if handed.accept_fd.is_some() && own.store.is_none() {
        warn!(log, "no $TMPDIR: keyed runs are not shared with the other process of an upgrade");
    }
    // Before the clients' addresses, which the process before this one gives up first: whoever connects there is served at
    // once.
    let held = PredecessorWait::new(&signals, log);
    let door = match config.admin_addr {
        Some(address) => {
            match held.taken(&format!("the operators' door on {address}"), || TcpListener::bind(address))? {
                Some(listener) => Some(listener),
                None => return Ok(()),
            }
        }
        None => None,
    };
    // The second process of an upgrade has the name and the address of the first one.
    let fleet = own.cluster.as_ref().filter(|_| handed.accept_fd.is_none());
    if fleet.is_none() && own.cluster.is_some() {
        warn!(log, "on an inherited listener this server takes no part in the fleet");
    }
    let peers_socket = match fleet {
        Some(set) => match held
            .taken(&format!("the fleet's address {}", set.listen), || UdpSocket::bind(set.listen))?
        {
            Some(socket) => Some(socket),
            None => return Ok(()),
        },
        None => None,
    };
    let mut control = Control::new(&config.name, config.listen, config.control).map_err(failed("control"))?;
    let thrift: Arc<dyn Protocol> = Arc::new(Thrift::new(live.clone()));
    let listener = match handed.accept_fd {
        // The platform holds it, and the process before this one may still accept on it.
        Some(fd) => Listener::Shared(inherited_listener::listener(fd)?),
        None => match held.tcp(config.listen)? {
            Some(listener) => listener,
            None => return Ok(()),
        },
    };
    let mut listeners = vec![(thrift, listener)];
    let scgi =
        own.scgi.as_ref().map(|set| Routes::new(set, live.clone(), |class| live.class(class).is_some()));
    let scgi = scgi.transpose()?;
    let scgi = scgi.map(|routes| Arc::new(Scgi::new(routes, seed)));
    if let (Some(front), Some(set)) = (&scgi, &own.scgi) {
        for &address in &set.listen {
            let Some(listener) = held.tcp(address)? else { return Ok(()) };
            listeners.push((Arc::clone(front) as Arc<dyn Protocol>, listener));
        }
        for path in &set.unix {
            let what = format!("listening on {}", path.display());
            let Some(listener) = held.taken(&what, || Listener::unix(path))? else { return Ok(()) };
            listeners.push((Arc::clone(front) as Arc<dyn Protocol>, listener));
        }
    }
    let (letters_in, letters) = bounded(LETTERS);
    let agrees = own.council.as_ref().filter(|_| fleet.is_some());
    let stage = agrees.and_then(|set| set.stage.clone().map(|folder| (folder, set.replace.clone())));
    let stage = stage.map(|(folder, replace)| {
        StagingArea::new(folder, files.config.clone(), replace, config.name.clone()).map(Arc::new)
    });
    let stage = stage.transpose().map_err(failed("the folder of staged settings"))?;
    let council = agrees.and_then(|set| set.folder.clone()).map(|folder| {
        // The system's own randomness: an identity never comes again.
        let fresh = RandomState::new().build_hasher().finish() | 1;
        VoterStorage::start(folder, fresh, urgently.clone())
    });
    let council = council.transpose().map_err(failed("the council's folder"))?;
    if let Some(set) = agrees.filter(|set| set.folder.is_none())
        && set.voters.iter().any(|name| **name == *config.name)
    {
        return Err(StartError::Voter(config.name.clone()));
    }
    let keys = fleet.map(|set| cluster::keys(&set.key_file)).transpose()?;
    let keys = keys.map(|keys| Arc::new(RwLock::new(keys)));
    let peers = match (fleet, &keys, peers_socket) {
        (Some(set), Some(keys), Some(socket)) => {
            let settings = fleet_settings(set, &config, read(keys), clock, seed)?;
            let own_life = settings.own.clone();
            reducer = reducer.with_cluster(Cluster::new(settings, clock.read().now));
            if let Some(set) = &own.council {
                let found = council.as_ref().map(|(_, found)| found.clone());
                let part = part_settings(set, names, own_life.clone(), found, seed);
                let in_force =
                    stage.as_ref().map(|stage| stage.in_force()).transpose().map_err(failed("stage"))?;
                let zone = own_life.zone.to_string();
                let mut part = ServerAgent::new(part, clock.read().now);
                if let Some(set) = service_set {
                    part = part.with_configuration(configuration_service::order_settings(set));
                }
                let (version, settings) = (files.version.clone(), in_force.unwrap_or_default());
                reducer = reducer.with_part(part, zone, version, settings);
                if let (Some(service), Some(service_set)) = (&service, service_set) {
                    let start = service.start(service_set, set, &own_life, seed);
                    reducer = reducer.with_configuration(start, clock.read().now);
                }
            }
            let peers = PeerDatagrams::start(socket, Arc::clone(keys), letters_in, clock, log.clone());
            Some(peers.map_err(failed("the fleet's thread"))?)
        }
        _ => None,
    };
    let writer = service.map(|service| service.writer(urgently.clone())).transpose();
    let writer = writer.map_err(failed("the writer of the configuration"))?.flatten();
    let letters = if peers.is_some() { letters } else { never() };
    let (reloaded, is_reloaded) = bounded(1);
    let parties = ReloadTargets { files, scgi, keys, live: live.clone(), inputs: urgently.clone() };
    let reloads = ConfigReloader::start(parties, is_reloaded).map_err(failed("reloads"))?;
    watch_signals(signals, reloads.clone(), urgently.clone()).map_err(failed("signals"))?;
    let (mut arrived, mut effects): (Vec<Input>, Vec<Effect>) = (Vec::new(), Vec::new());
    let store = own.store.as_ref().zip(store_limits).map(|(set, limits)| {
        Store::start(store::folder(set.path.clone()), limits, seed, clock, urgently.clone(), log.clone())
    });
    let store = store.transpose().map_err(failed("store"))?;
    if store.is_some() {
        // Mostly it takes some milliseconds, and then no keyed request has to be refused for it.
        arrived.extend(urgent.recv_timeout(STORE_PATIENCE).ok());
    }
    let admin = door.map(|door| Admin::start(door, urgently.clone(), stage.clone(), log.clone()));
    let admin = admin.transpose().map_err(failed("the operators' door"))?;
    let fronts = Frontend::listen(listeners, config.connections(), inputs, Arc::clone(&pool), log.clone());
    let fronts = fronts.map_err(failed("reading"))?;
    let registry = own.registry.as_ref().map(|set| Registry::start(set, &id, &urgently, log));
    let registry = registry.transpose().map_err(failed("registry"))?;
    let (calls_end, buffers) = (urgently.clone(), Arc::clone(&pool));
    let calls_to = |address, most| {
        UpstreamClient::start(address, most, calls_end.clone(), Arc::clone(&buffers), log.clone())
    };
    let ledger = config.ledger.filter(|_| settings.specifics.below == UpstreamKind::Shared);
    let ledger = ledger.map(|address| calls_to(address, config.calls()).map_err(failed("ledger")));
    let mut ledger = ledger.transpose()?;
    let changes = urgently.clone();
    if let Some(stage) = &stage {
        arrived.push(Input::StagedSettingsChanged(None, stage.staged()));
    }
    let processor = Processor::connect(config.processor, urgently, pool, log.clone());
    let processor = processor.map_err(failed("processor"))?;
    info!(log, "serving"; "listen" => %config.listen, "version" => env!("CARGO_PKG_VERSION"));

    loop {
        reducer.step(clock.read(), arrived.drain(..), &mut effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Respond(conn, seq, answer, hint) => fronts.answer(conn, seq, &answer, hint),
                Effect::RequestDrain(conn) => fronts.draining(conn),
                Effect::StopAccepting => fronts.stop_accepting(),
                Effect::CloseConnection(conn) => fronts.close(conn),
                Effect::CloseIdleConnection(conn, taken) => fronts.close_resting(conn, taken),
                Effect::CloseLateConnection(conn, taken) => fronts.close_late(conn, taken),
                Effect::StartRun(link, id, class, body) => {
                    processor.begin(link, &id, &class.profile.name, &body);
                }
                Effect::ReadGauges(link, tag) => processor.usage(link, tag),
                Effect::CallUpstream(id, number, body, limit, leaves) => {
                    let leaves = leaves.map(|at| clock.instant(at));
                    let ended = match &ledger {
                        Some(ledger) => ledger.call((id, number), &body, limit, leaves).err(),
                        // Nobody would tell its end, and the run would wait for that until its caller gives up.
                        None => Some(Input::UpstreamCallEnded {
                            id,
                            number,
                            outcome: Outcome::ConnectFailed,
                            reply: None,
                        }),
                    };
                    // In its own queue: this thread must not wait for itself.
                    arrived.extend(ended);
                }
                Effect::SendPeerDatagram(to, datagram) => {
                    if let Some(peers) = &peers {
                        peers.send(to, &datagram);
                    }
                }
                Effect::SaveConfiguration(save) => {
                    if let Some(writer) = &writer {
                        writer.hand_in(save.state, save.commit);
                    }
                }
                Effect::WriteVoterState(generation, number, records) => {
                    if let Some((folder, _)) = &council {
                        folder.write(generation, number, records);
                    }
                }
                Effect::StartRolloutStep(turn, until) => {
                    let release = turn.rollout;
                    let changed = match &stage {
                        Some(stage) => stage
                            .change(*turn, until, clock, changes.clone(), reloads.clone())
                            .map_err(|e| e.to_string()),
                        None => Err("the settings name no stage".to_string()),
                    };
                    // In its own queue: this thread must not wait for itself.
                    arrived.extend(changed.err().map(|why| Input::RolloutStepFailed(release, why)));
                }
                Effect::DeliverUpstreamReply(link, id, reply) => processor.answer(link, &id, &reply),
                Effect::StopRun(link, id) => processor.interrupt(link, &id),
                Effect::ReconnectProcessor(link) => processor.renew(link),
                Effect::SetProcessorAddress(address) => processor.retarget(address),
                Effect::SetControlAddress(address) => control.retarget(address),
                Effect::SetUpstreamAddress(address) => match &ledger {
                    Some(ledger) => ledger.retarget(address),
                    None => match calls_to(address, LATE_CALLS) {
                        Ok(started) => ledger = Some(started),
                        Err(e) => error!(log, "no calls can be made to the ledger"; "error" => %e),
                    },
                },
                Effect::ReportReadiness(ready) => {
                    if let Err(e) = control.report(ready) {
                        info!(log, "a report could not be sent"; "error" => %e);
                    }
                }
                Effect::AskRegistry(ask) => {
                    if let Some(registry) = &registry {
                        registry.ask(ask);
                    }
                }
                Effect::PersistRecords(number, batch) => {
                    if let Some(store) = &store {
                        store.persist(number, batch);
                    }
                }
                Effect::ReplayNotices => processor.retell(),
                Effect::ClaimRun(id, token, print, patience) => {
                    if let Some(claims) = &claims {
                        claims.claim(id, token, print, patience);
                    }
                }
                Effect::ReleaseClaim(token, print, end) => {
                    if let Some(claims) = &claims {
                        claims.ended(token, print, end);
                    }
                }
                Effect::UpdateNames { edition, changes } => live.publish(edition, changes),
                Effect::SetLongestWindow(window) => {
                    if let Some(claims) = &claims {
                        claims.window(window);
                    }
                }
                Effect::ReloadFinished => drop(reloaded.try_send(())),
                Effect::AnswerAdmin(id, answer) => {
                    if let Some(admin) = &admin {
                        admin.answer(id, answer);
                    }
                }
                Effect::Log(Level::Info, text) => info!(log, "{}", text),
                Effect::Log(Level::Warning, text) => warn!(log, "{}", text),
                Effect::Log(_, text) => error!(log, "{}", text),
                Effect::Exit => {
                    info!(log, "leaving");
                    if let Some(claims) = claims {
                        claims.close(urgent);
                    }
                    return Ok(());
                }
            }
        }
        processor.flush();
        let wait = reducer.wake_at().map(|at| Duration::from_nanos(at.0.saturating_sub(clock.read().now.0)));
        let wait = wait.unwrap_or(Duration::from_secs(1));
        // Whichever comes; both are held by threads that last, so that an error is no more than a wait.
        select! {
            recv(urgent) -> input => arrived.extend(input),
            recv(queue) -> input => arrived.extend(input),
            recv(letters) -> input => arrived.extend(input),
            default(wait) => {}
        }
        arrived.extend(urgent.try_iter().take(URGENT));
        arrived.extend(letters.try_iter().take(LETTERS));
        arrived.extend(queue.try_iter().take(QUEUE));
    }
}

/// The longest in which a keyed request may come again.
fn longest_window(settings: &Settings) -> Span {
    settings.profiles.iter().map(|profile| profile.window).max().unwrap_or_default()
}

/// SIGTERM becomes the notice to leave, SIGUSR1 an operator's order to go out of service and then leave, SIGUSR2 the
/// order to come back from that. SIGHUP has the configuration read again.
fn watch_signals(
    mut signals: Signals,
    reloads: ConfigReloader,
    inputs: Sender<Input>,
) -> std::io::Result<()> {
    let watch = move || {
        while let Ok(came) = signals.wait() {
            for signal in came {
                let input = match signal {
                    SIGHUP => {
                        reloads.files();
                        continue;
                    }
                    SIGUSR1 => Input::TakeOutOfService,
                    SIGUSR2 => Input::ReturnToService,
                    _ => Input::ShutdownNotice,
                };
                if inputs.send(input).is_err() {
                    return;
                }
            }
        }
    };
    thread::Builder::new().name("signals".into()).stack_size(SIGNAL_STACK).spawn(watch).map(drop)
}

fn read(keys: &SharedKeys) -> AuthenticationKeys {
    keys.read().unwrap_or_else(PoisonError::into_inner).clone()
}
