//! Clients of the drill: open-loop load from several proxies whose server list follows the control plane's with a
//! delay.

use super::{CORES, Drill, RUN_WORK};
use crate::fleet::Fleet;
use crate::load::{Proxy, ProxyBehavior, Records, StaticServers};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Number of clients, maximum attempts per request, and delay of the clients' server list behind the control plane.
const CLIENTS: usize = 6;
const MAX_ATTEMPTS: usize = 4;
const LIST_DELAY: Duration = Duration::from_millis(300);

/// Clients whose server list is updated by calls of [`Clients::update`].
pub struct Clients {
    list: Arc<Mutex<StaticServers>>,
    proxies: Vec<Proxy>,
}

impl Clients {
    /// Starts all clients.
    pub fn start(drill: &Drill, fleet: &Fleet) -> io::Result<Self> {
        let all = fleet.nodes.iter().map(|node| node.address).collect();
        let list = Arc::new(Mutex::new(StaticServers { all, turn: 0 }));
        let rate = drill.load * f64::from(CORES) * drill.servers as f64 / RUN_WORK.as_secs_f64();
        let start = |n: usize| {
            let habit = ProxyBehavior::thrift(rate / CLIENTS as f64, MAX_ATTEMPTS, true);
            let servers = Box::new(Arc::clone(&list));
            Proxy::start_with(n as u64 + 1, drill.seed * 100 + n as u64, habit, servers, &HashMap::new(), 4)
        };
        let proxies = (0..CLIENTS).map(start).collect::<io::Result<Vec<Proxy>>>()?;
        Ok(Self { list, proxies })
    }

    /// Updates the server list with the servers that are ready; keeps the old list if none is.
    pub fn update(&self, fleet: &Fleet) {
        let ready = fleet.control.roster().ready(Instant::now(), LIST_DELAY);
        let all: Vec<SocketAddr> =
            fleet.nodes.iter().filter(|node| ready.contains(&node.name)).map(|node| node.address).collect();
        if !all.is_empty() {
            self.list.lock().unwrap_or_else(PoisonError::into_inner).all = all;
        }
    }

    /// Stops all clients and returns their records.
    pub fn stop(self) -> Vec<Records> {
        let stops: Vec<_> =
            self.proxies.into_iter().map(|proxy| thread::spawn(move || proxy.stop())).collect();
        stops.into_iter().filter_map(|stop| stop.join().ok()).collect()
    }
}
