//! A caller's view of a fleet, kept up from registries by a thread of its own.

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

/// Between looks at whether a fetch is due.
const TICK: Duration = Duration::from_millis(5);

/// A view that follows its registries until it is dropped.
pub struct Watcher {
    view: Arc<Mutex<View>>,
    ended: Arc<AtomicBool>,
}

impl Watcher {
    /// Follows registries in the order of preference; one that fails hands over to the next.
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
        let (mine, over) = (Arc::clone(&view), Arc::clone(&ended));
        let follow = move || {
            let lock = || mine.lock().unwrap_or_else(PoisonError::into_inner);
            let mut at = 0;
            while !over.load(Ordering::Relaxed) {
                let due = lock().poll(now());
                if let Some(fetch) = due {
                    let came = clients[at % clients.len()].fetch(fetch, timeout).ok();
                    if came.is_none() {
                        at += 1;
                    }
                    lock().fetched(now(), fetch, came.as_ref());
                }
                thread::sleep(TICK);
            }
        };
        thread::Builder::new().name("watch".into()).spawn(follow)?;
        Ok(Self { view, ended })
    }

    /// The view as it is now.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// For a proxy: the instances under a name.
    pub fn servers(&self, vip: &str) -> Box<dyn Servers> {
        Box::new(Viewed { view: Arc::clone(&self.view), vip: vip.to_string() })
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

struct Viewed {
    view: Arc<Mutex<View>>,
    vip: String,
}

impl Servers for Viewed {
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.pick(&self.vip, avoided).map(|picked| picked.address)
    }
}
