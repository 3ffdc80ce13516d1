//! A host process: one thread that serves many hollow servers by their sockets and their clocks, and measures how late it is.
//!
//! It ends when its input ends, which is when its supervisor ends, however that was.

use super::messages::{HostPlan, Lateness, Order, Report};
use super::server::{HollowServer, Surroundings, thread_cpu_ns};
use clap::Args;
use crossbeam_channel::{Receiver, unbounded};
use gradepin_admission::{Span, Time, time_after};
use gradepin_node::config;
use gradepin_node::settings::{OperatorSettings, cluster};
use hdrhistogram::Histogram;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
use rustix::time::{ClockId, clock_gettime};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::error::Error;
use std::io::{self, BufRead, Write};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::thread;

const MS: u64 = 1_000_000;
/// Sockets told of at a time.
const EVENTS: usize = 128;
/// The longest wait for sockets: orders are looked for this often.
const LONGEST_WAIT: u64 = 20 * MS;
/// Between reports that nobody asked for.
const REPORT: Span = Span(1_000 * MS);
/// Lateness is measured in microseconds up to this.
const MOST_LATE_US: u64 = 60_000_000;

/// Host hollow servers, for `scale fleet`
#[derive(Debug, Args)]
pub struct HostArgs {
    /// The plan's file
    #[arg(long)]
    pub plan: PathBuf,
}

/// Why a host can't start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The settings of the real daemon have no cluster.
    #[error("expected a cluster block in {}", .0.display())]
    NoCluster(PathBuf),
}

/// Serves until the input ends.
pub fn run(args: &HostArgs) -> Result<(), Box<dyn Error>> {
    let plan: HostPlan = serde_json::from_str(&std::fs::read_to_string(&args.plan)?)?;
    let config = config::load(&plan.config)?;
    let fleet = match &plan.settings {
        None => None,
        Some(path) => {
            let set =
                OperatorSettings::load(path)?.cluster.ok_or_else(|| HostError::NoCluster(path.clone()))?;
            let keys = cluster::keys(&set.key_file)?;
            Some((set, keys))
        }
    };
    let orders = read_orders()?;
    let around = Surroundings::new(&plan, config, fleet);
    Host::start(plan, around)?.serve(&orders)
}

/// Reads orders on a thread of its own; the end of the input ends the process.
fn read_orders() -> io::Result<Receiver<Order>> {
    let (sender, orders) = unbounded();
    let read = move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let order = serde_json::from_str(&line).ok();
            if order.is_none_or(|order| sender.send(order).is_err()) {
                break;
            }
        }
        std::process::exit(0);
    };
    thread::Builder::new().name("orders".into()).spawn(read)?;
    Ok(orders)
}

/// The servers of one process and when each has its turn.
struct Host {
    plan: HostPlan,
    around: Surroundings,
    servers: Vec<HollowServer>,
    epoll: OwnedFd,
    /// When servers are due. An entry whose time is not its server's any more is void.
    dues: BinaryHeap<Reverse<(Time, usize)>>,
    next_look: Time,
    looked: usize,
    next_report: Time,
    late: Histogram<u64>,
    /// CPU of looks and reports, which are the measurement's and no server's.
    beside_ns: u64,
}

impl Host {
    fn start(plan: HostPlan, around: Surroundings) -> Result<Self, Box<dyn Error>> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let mut servers = Vec::with_capacity(plan.places.len());
        for number in 0..plan.places.len() {
            let server = HollowServer::start(&plan, number, &around)?;
            let data = epoll::EventData::new_u64(number as u64);
            epoll::add(&epoll, server.socket(), data, epoll::EventFlags::IN)?;
            servers.push(server);
        }
        let now = around.clock.read().now;
        let dues = (0..servers.len()).map(|number| Reverse((now, number))).collect();
        let late = Histogram::new_with_bounds(1, MOST_LATE_US, 3)?;
        Ok(Self {
            plan,
            around,
            servers,
            epoll,
            dues,
            next_look: now,
            looked: 0,
            next_report: now,
            late,
            beside_ns: 0,
        })
    }

    fn serve(mut self, orders: &Receiver<Order>) -> Result<(), Box<dyn Error>> {
        let mut events = Vec::with_capacity(EVENTS);
        loop {
            for order in orders.try_iter() {
                match order {
                    Order::Cut(cut) => self.around.cut = cut,
                    Order::Report(number) => self.report(Some(number))?,
                }
            }
            self.wait(&mut events)?;
            for event in &events {
                self.turn(event.data.u64() as usize, true)?;
            }
            for number in self.due_now() {
                self.turn(number, false)?;
            }
            self.look();
            if self.around.clock.read().now >= self.next_report {
                self.report(None)?;
            }
        }
    }

    /// Waits until a socket has something or a server is due.
    fn wait(&self, events: &mut Vec<epoll::Event>) -> io::Result<()> {
        let now = self.around.clock.read().now;
        let due = self.dues.peek().map_or(now, |Reverse((at, _))| *at);
        let until = due.min(self.next_look).min(self.next_report);
        let wait = until.0.saturating_sub(now.0).min(LONGEST_WAIT);
        let wait = Timespec { tv_sec: 0, tv_nsec: wait as i64 };
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), Some(&wait)) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Takes the servers whose time has come off the heap, each once. Those that become due again meanwhile wait for the
    /// next round, so that sockets have their turn too.
    fn due_now(&mut self) -> Vec<usize> {
        let now = self.around.clock.read().now;
        let mut due = Vec::new();
        while let Some(Reverse((at, number))) = self.dues.peek().copied().filter(|entry| entry.0.0 <= now) {
            self.dues.pop();
            if self.servers[number].due() == at {
                due.push(number);
            }
        }
        due.sort_unstable();
        due.dedup();
        due
    }

    fn turn(&mut self, number: usize, has_mail: bool) -> io::Result<()> {
        let server = &mut self.servers[number];
        let due = server.due();
        let now = self.around.clock.read().now;
        if due <= now {
            let late_us = (now.0 - due.0) / 1_000;
            self.late.saturating_record(late_us.max(1));
        }
        server.turn(&mut self.around, has_mail)?;
        if server.due() != due || due <= now {
            self.dues.push(Reverse((server.due(), number)));
        }
        Ok(())
    }

    /// One server after another is asked what it knows, so that looks are spread over their period.
    fn look(&mut self) {
        let now = self.around.clock.read().now;
        if now < self.next_look || self.servers.is_empty() {
            return;
        }
        let begun = thread_cpu_ns();
        let number = self.looked % self.servers.len();
        self.looked += 1;
        let before = self.servers[number].due();
        self.servers[number].look(&mut self.around);
        if self.servers[number].due() != before {
            self.dues.push(Reverse((self.servers[number].due(), number)));
        }
        let pause = self.plan.look_ms * MS / self.servers.len() as u64;
        self.next_look = time_after(self.next_look, Span(pause)).max(now);
        self.beside_ns += thread_cpu_ns().saturating_sub(begun);
    }

    fn report(&mut self, number: Option<u32>) -> Result<(), Box<dyn Error>> {
        let begun = thread_cpu_ns();
        if number.is_some() {
            // What is reported on demand is as of now.
            for server in &mut self.servers {
                server.look(&mut self.around);
            }
            for place in 0..self.servers.len() {
                self.dues.push(Reverse((self.servers[place].due(), place)));
            }
        }
        let moment = self.around.clock.read();
        let cpu = clock_gettime(ClockId::ProcessCPUTime);
        let cpu_ns = cpu.tv_sec as u64 * 1_000_000_000 + cpu.tv_nsec as u64;
        // Of this report so far, too: what its text takes falls to the next one.
        let beside_ns = self.beside_ns + thread_cpu_ns().saturating_sub(begun);
        let at = |quantile: f64| self.late.value_at_quantile(quantile) as f64 / 1e3;
        let report = Report {
            number,
            at_ms: moment.unix_ms,
            cpu_ns: cpu_ns.saturating_sub(beside_ns),
            beside_ns,
            late: Lateness { p50_ms: at(0.5), p99_ms: at(0.99), most_ms: at(1.0) },
            cut: self.around.cut_dropped,
            servers: self.servers.iter().map(|server| server.figures().clone()).collect(),
            kinds: self.around.kinds(),
        };
        let mut line = serde_json::to_string(&report)?;
        line.push('\n');
        let mut out = io::stdout().lock();
        out.write_all(line.as_bytes())?;
        out.flush()?;
        if number.is_some() {
            self.late.reset();
        }
        self.next_report = time_after(moment.now, REPORT);
        self.beside_ns += thread_cpu_ns().saturating_sub(begun);
        Ok(())
    }
}
