//! Binds the addresses of a server, in the order in which a predecessor closes them.
//!
//! The clients' addresses come after the admin and fleet addresses, because clients that connect must be served
//! immediately.

use super::context::StartContext;
use super::error::StartAborted;
use super::predecessor_wait::PredecessorWait;
use super::start_optional;
use super::state::ServerState;
use crate::control::Control;
use crate::frontend::scgi::Scgi;
use crate::frontend::scgi::routes::{RouteError, Routes};
use crate::frontend::thrift::Thrift;
use crate::frontend::{Listener, Protocol};
use crate::inherited_listener;
use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;

/// The sockets of a server, bound but not served yet.
pub(super) struct Sockets {
    /// The listeners for clients with their protocols, in the order in which they were bound.
    pub client_listeners: Vec<(Arc<dyn Protocol>, Listener)>,
    /// The SCGI front end, whose routes a reload replaces.
    pub scgi: Option<Arc<Scgi>>,
    /// Sends reports to the control plane.
    pub control: Control,
    /// Socket for datagrams of other servers.
    pub peers: Option<UdpSocket>,
    /// Listener for operators' requests.
    pub admin: Option<TcpListener>,
}

impl StartContext<'_> {
    /// Binds all addresses.
    pub(super) fn acquire_sockets(
        &self,
        state: &ServerState,
        wait: &PredecessorWait<'_>,
    ) -> Result<Sockets, StartAborted> {
        let admin = self.bind_admin(wait)?;
        self.roles.warn_if_no_member(self.operator, self.log);
        let peers = self.bind_peers(wait)?;
        let config = self.config;
        let control = wait.acquire("the socket of reports to the control plane", || {
            Control::new(&config.name, config.listen, config.control)
        })?;
        let thrift: Arc<dyn Protocol> = Arc::new(Thrift::new(state.names.clone()));
        let mut client_listeners = vec![(thrift, self.client_listener(wait)?)];
        let scgi = self.scgi_frontend(state)?;
        if let Some(scgi) = &scgi {
            self.bind_scgi(scgi, wait, &mut client_listeners)?;
        }
        Ok(Sockets { client_listeners, scgi, control, peers, admin })
    }

    fn bind_admin(&self, wait: &PredecessorWait<'_>) -> Result<Option<TcpListener>, StartAborted> {
        start_optional(self.config.admin_addr, |address| {
            wait.acquire(&format!("admin endpoint on {address}"), || TcpListener::bind(address))
        })
    }

    fn bind_peers(&self, wait: &PredecessorWait<'_>) -> Result<Option<UdpSocket>, StartAborted> {
        start_optional(self.roles.cluster, |cluster| {
            let address = cluster.listen;
            wait.acquire(&format!("fleet address {address}"), || UdpSocket::bind(address))
        })
    }

    fn client_listener(&self, wait: &PredecessorWait<'_>) -> Result<Listener, StartAborted> {
        match self.inherited.accept_fd {
            // The platform keeps this socket open, and the predecessor may still accept on it.
            Some(fd) => Ok(Listener::Shared(inherited_listener::listener(fd)?)),
            None => wait.listen_tcp(self.config.listen),
        }
    }

    fn scgi_frontend(&self, state: &ServerState) -> Result<Option<Arc<Scgi>>, RouteError> {
        start_optional(self.operator.scgi.as_ref(), |settings| {
            let names = &state.names;
            let routes = Routes::new(settings, names.clone(), |class| names.class(class).is_some())?;
            Ok(Arc::new(Scgi::new(routes, state.seed)))
        })
    }

    fn bind_scgi(
        &self,
        scgi: &Arc<Scgi>,
        wait: &PredecessorWait<'_>,
        listeners: &mut Vec<(Arc<dyn Protocol>, Listener)>,
    ) -> Result<(), StartAborted> {
        let Some(settings) = &self.operator.scgi else { return Ok(()) };
        for &address in &settings.listen {
            let listener = wait.listen_tcp(address)?;
            listeners.push((Arc::clone(scgi) as Arc<dyn Protocol>, listener));
        }
        for path in &settings.unix {
            let resource = format!("listening on {}", path.display());
            let listener = wait.acquire(&resource, || Listener::unix(path))?;
            listeners.push((Arc::clone(scgi) as Arc<dyn Protocol>, listener));
        }
        Ok(())
    }
}
