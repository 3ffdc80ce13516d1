//! Host process: one thread that runs many hollow servers, driven by their sockets and timers, and measures its own delay.
//!
//! It ends when its standard input closes, which happens whenever the supervising process ends.

use super::messages::{HostPlan, Lateness, Order, Report};
use super::server::{HollowServer, HostContext, thread_cpu_ns};
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
/// Maximum number of socket events per wait.
const MAX_EVENTS: usize = 128;
/// Maximum wait for sockets, in nanoseconds; orders are checked after each wait.
const MAX_WAIT_NS: u64 = 20 * MS;
/// Interval of periodic reports.
const REPORT_INTERVAL: Span = Span(1_000 * MS);
/// Largest recorded delay, in microseconds.
const MAX_DELAY_US: u64 = 60_000_000;

/// Host hollow servers, for `scale fleet`
#[derive(Debug, Args)]
pub struct HostArgs {
    /// Path of the plan
    #[arg(long)]
    pub plan: PathBuf,
}

/// Reason why a host can't start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The settings of the real daemon have no `cluster` block.
    #[error("expected a cluster block in {}", .0.display())]
    NoCluster(PathBuf),
}

/// Runs the host until its input ends.
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
    let context = HostContext::new(&plan, config, fleet);
    Host::start(plan, context)?.serve(&orders)
}

/// Reads orders in a separate thread; the end of the input, or an invalid line, ends the process.
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

/// Hollow servers of this process and their due times.
struct Host {
    plan: HostPlan,
    context: HostContext,
    servers: Vec<HollowServer>,
    epoll: OwnedFd,
    /// Due times of servers. An entry is stale if the due time of its server has changed.
    dues: BinaryHeap<Reverse<(Time, usize)>>,
    next_poll: Time,
    polled: usize,
    next_report: Time,
    late: Histogram<u64>,
    /// CPU time of polls and reports, which belong to the measurement rather than to a server.
    beside_ns: u64,
}

impl Host {
    fn start(plan: HostPlan, context: HostContext) -> Result<Self, Box<dyn Error>> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let mut servers = Vec::with_capacity(plan.places.len());
        for number in 0..plan.places.len() {
            let server = HollowServer::start(&plan, number, &context)?;
            let data = epoll::EventData::new_u64(number as u64);
            epoll::add(&epoll, server.socket(), data, epoll::EventFlags::IN)?;
            servers.push(server);
        }
        let now = context.clock.read().now;
        let dues = (0..servers.len()).map(|number| Reverse((now, number))).collect();
        let late = Histogram::new_with_bounds(1, MAX_DELAY_US, 3)?;
        Ok(Self {
            plan,
            context,
            servers,
            epoll,
            dues,
            next_poll: now,
            polled: 0,
            next_report: now,
            late,
            beside_ns: 0,
        })
    }

    fn serve(mut self, orders: &Receiver<Order>) -> Result<(), Box<dyn Error>> {
        let mut events = Vec::with_capacity(MAX_EVENTS);
        loop {
            for order in orders.try_iter() {
                match order {
                    Order::Cut(cut) => self.context.cut = cut,
                    Order::Report(number) => self.report(Some(number))?,
                }
            }
            self.wait(&mut events)?;
            for event in &events {
                self.run_server(event.data.u64() as usize, true)?;
            }
            for number in self.due_now() {
                self.run_server(number, false)?;
            }
            self.poll_state();
            if self.context.clock.read().now >= self.next_report {
                self.report(None)?;
            }
        }
    }

    /// Waits until a socket is readable or a server is due.
    fn wait(&self, events: &mut Vec<epoll::Event>) -> io::Result<()> {
        let now = self.context.clock.read().now;
        let due = self.dues.peek().map_or(now, |Reverse((at, _))| *at);
        let until = due.min(self.next_poll).min(self.next_report);
        let wait = until.0.saturating_sub(now.0).min(MAX_WAIT_NS);
        let wait = Timespec { tv_sec: 0, tv_nsec: wait as i64 };
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), Some(&wait)) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Removes the due servers from the heap, each once. Servers that become due again meanwhile wait for the next round, so
    /// that sockets aren't starved.
    fn due_now(&mut self) -> Vec<usize> {
        let now = self.context.clock.read().now;
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

    fn run_server(&mut self, number: usize, has_mail: bool) -> io::Result<()> {
        let server = &mut self.servers[number];
        let due = server.due();
        let now = self.context.clock.read().now;
        if due <= now {
            let late_us = (now.0 - due.0) / 1_000;
            self.late.saturating_record(late_us.max(1));
        }
        server.run_once(&mut self.context, has_mail)?;
        if server.due() != due || due <= now {
            self.dues.push(Reverse((server.due(), number)));
        }
        Ok(())
    }

    /// Polls the state of one server after another, spread evenly over the poll interval.
    fn poll_state(&mut self) {
        let now = self.context.clock.read().now;
        if now < self.next_poll || self.servers.is_empty() {
            return;
        }
        let cpu_start = thread_cpu_ns();
        let number = self.polled % self.servers.len();
        self.polled += 1;
        let before = self.servers[number].due();
        self.servers[number].poll_state(&mut self.context);
        if self.servers[number].due() != before {
            self.dues.push(Reverse((self.servers[number].due(), number)));
        }
        let pause = self.plan.look_ms * MS / self.servers.len() as u64;
        self.next_poll = time_after(self.next_poll, Span(pause)).max(now);
        self.beside_ns += thread_cpu_ns().saturating_sub(cpu_start);
    }

    fn report(&mut self, number: Option<u32>) -> Result<(), Box<dyn Error>> {
        let cpu_start = thread_cpu_ns();
        if number.is_some() {
            // A report on demand shows the current state.
            for server in &mut self.servers {
                server.poll_state(&mut self.context);
            }
            for index in 0..self.servers.len() {
                self.dues.push(Reverse((self.servers[index].due(), index)));
            }
        }
        let moment = self.context.clock.read();
        let cpu = clock_gettime(ClockId::ProcessCPUTime);
        let cpu_ns = cpu.tv_sec as u64 * 1_000_000_000 + cpu.tv_nsec as u64;
        // Includes this report so far; its serialization counts for the next one.
        let beside_ns = self.beside_ns + thread_cpu_ns().saturating_sub(cpu_start);
        let at = |quantile: f64| self.late.value_at_quantile(quantile) as f64 / 1e3;
        let report = Report {
            number,
            at_ms: moment.unix_ms,
            cpu_ns: cpu_ns.saturating_sub(beside_ns),
            beside_ns,
            late: Lateness { p50_ms: at(0.5), p99_ms: at(0.99), most_ms: at(1.0) },
            cut: self.context.cut_dropped,
            servers: self.servers.iter().map(|server| server.figures().clone()).collect(),
            kinds: self.context.kinds(),
        };
        let mut line = serde_json::to_string(&report)?;
        line.push('\n');
        let mut out = io::stdout().lock();
        out.write_all(line.as_bytes())?;
        out.flush()?;
        if number.is_some() {
            self.late.reset();
        }
        self.next_report = time_after(moment.now, REPORT_INTERVAL);
        self.beside_ns += thread_cpu_ns().saturating_sub(cpu_start);
        Ok(())
    }
}
