//! One tile server with the stand-ins of its platform, and its upgrade.

use crate::platform::*;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// One server with its platform.
pub struct Site {
    pub machine: Machine,
    pub processor: Processor,
    pub folder: Folder,
    pub config: Config,
    /// A file of the operators' settings.
    pub settings: Option<PathBuf>,
    /// The clients' listening socket, where the platform holds it.
    listener: Option<TcpListener>,
}

impl Site {
    /// A site whose runs take `run_ms`.
    pub fn new(record: &Record, run_ms: u64) -> Self {
        let site = Self::with_late_processor(record, run_ms);
        site.processor.come_up();
        site
    }

    /// The same, but the processor comes up later.
    pub fn with_late_processor(record: &Record, run_ms: u64) -> Self {
        let machine = Machine::default();
        let processor = Processor::start_later(&machine, record, run_ms);
        let control = Control::start(record);
        let config = Config {
            listen: free_address(),
            processor: processor.address,
            control: control.address,
            admin: None,
            seed: 0x8c1f_30d2_7a5b_e964 ^ u64::from(std::process::id()),
            stop_ms: 3_200,
            drain_grace_ms: 1_800,
            classes: classes(),
        };
        Self { machine, processor, folder: Folder::create(), config, settings: None, listener: None }
    }

    /// A site on a day of an upgrade: the platform holds the clients' listening socket, and there is an admin address.
    pub fn with_upgrade(record: &Record, run_ms: u64) -> Self {
        let mut site = Self::new(record, run_ms);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        site.config.listen = listener.local_addr().expect("an address");
        site.config.admin = Some(free_address());
        site.listener = Some(listener);
        site
    }

    /// Starts a tile server whose files have this name.
    pub fn start(&self, name: &str) -> Server {
        let config = self.folder.file(&format!("{name}.json"), &self.config.text());
        Server::start(&Start {
            config: &config,
            settings: self.settings.as_deref(),
            tmpdir: &self.folder.0,
            listener: self.listener.as_ref(),
            log: &self.folder.0.join(format!("{name}.log")),
        })
    }

    /// Starts the new process of an upgrade, with another address of the processor, another admin address and another seed.
    pub fn start_new(&mut self, record: &Record, processor: Processor) -> Server {
        self.config.processor = processor.address;
        self.config.seed ^= 0xffff;
        self.config.admin = Some(free_address());
        self.processor = processor;
        record.note("upgrade: the new process is started");
        self.start("new")
    }

    /// The admin address of the process that was started last.
    pub fn door(&self) -> SocketAddr {
        self.config.admin.unwrap_or_else(|| cannot_run("no admin address"))
    }

    /// Hands over as the platform does: SIGTERM to the old process when the new one says yes. `meanwhile` is called until then.
    pub fn hand_over(&self, record: &Record, old: &Server, mut meanwhile: impl FnMut()) {
        let started = unix_ms();
        while admin(self.door(), "GET", "/healthcheck") != 200 {
            if unix_ms() > started + 6_000 {
                cannot_run("the new process doesn't say yes within 6 s");
            }
            meanwhile();
        }
        record.note("upgrade: the new process says yes; SIGTERM to the old one");
        signal(old.pid, "TERM");
    }

    pub fn client(&self, record: &Record) -> Client {
        let client = Client::connect(self.config.listen, &self.machine, record);
        client.unwrap_or_else(|| cannot_run("no connection to the tile server"))
    }
}
