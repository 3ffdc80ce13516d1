//! A client's view of a fleet, updated from registries by a background thread.

use crate::load::Servers;
use gradepin_admission::Time;
use gradepin_node::registry::Client;
use gradepin_node::settings::ServiceUrl;
use gradepin_registry::view::{View, ViewSettings};
use gradepin_registry::wire::Format;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between checks for a due fetch.
const TICK: Duration = Duration::from_millis(5);

/// Keeps a view up to date until it is dropped.
pub struct Watcher {
    view: Arc<Mutex<View>>,
    ended: Arc<AtomicBool>,
}

impl Watcher {
    /// Starts to fetch from the first registry; each failure switches to the next one.
    pub fn start(
        urls: &[ServiceUrl],
        set: ViewSettings,
        timeout: Duration,
        seed: u64,
    ) -> std::io::Result<Self> {
        let start = Instant::now();
        let now = move || Time(start.elapsed().as_nanos() as u64);
        let view = Arc::new(Mutex::new(View::new(set, seed, now())));
        let ended = Arc::<AtomicBool>::default();
        let clients: Vec<Client> = urls.iter().map(|url| Client::new(url, Format::Json)).collect();
        let (shared_view, stop_flag) = (Arc::clone(&view), Arc::clone(&ended));
        let follow = move || {
            let lock = || shared_view.lock().unwrap_or_else(PoisonError::into_inner);
            let mut url_index = 0;
            while !stop_flag.load(Ordering::Relaxed) {
                let due = lock().poll(now());
                if let Some(fetch) = due {
                    let received = clients[url_index % clients.len()].fetch(fetch, timeout).ok();
                    if received.is_none() {
                        url_index += 1;
                    }
                    lock().fetched(now(), fetch, received.as_ref());
                }
                thread::sleep(TICK);
            }
        };
        thread::Builder::new().name("watch".into()).spawn(follow)?;
        Ok(Self { view, ended })
    }

    /// Locks the current view.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Server source for a proxy: the instances under a VIP address.
    pub fn servers(&self, vip: &str) -> Box<dyn Servers> {
        Box::new(ViewServers { view: Arc::clone(&self.view), vip: vip.to_string() })
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

struct ViewServers {
    view: Arc<Mutex<View>>,
    vip: String,
}

impl Servers for ViewServers {
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.pick(&self.vip, avoided).map(|picked| picked.address)
    }
}
