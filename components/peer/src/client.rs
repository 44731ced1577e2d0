//! NNG client for requests to other nodes.

use std::cell;
use std::rc;
use std::time;

use compio::runtime;
use futures_channel::oneshot;
use prost::Message;
use schema::peer as wire;

use crate::aio::AioHandle;
use crate::connection::Connection;
use crate::{Error, Link, Meter, Settings};

/// Client for requests to other nodes; clones share the connections.
///
/// A request is sent at most once; a request without a reply may or may not have been handled.
#[derive(Clone)]
pub struct Client {
    shared: rc::Rc<Shared>,
}

struct Shared {
    node: units::Node,
    settings: Settings,
    meter: Meter,
    /// Sorted by address.
    connections: cell::RefCell<Vec<Entry>>,
    /// Handles for reuse; their number equals the peak of concurrent requests.
    idle_handles: cell::RefCell<Vec<AioHandle>>,
    /// Logical clock that advances with each use of a connection, for least-recently-used eviction.
    use_clock: cell::Cell<u64>,
}

struct Entry {
    address: units::Address,
    last_use: u64,
    connection: rc::Rc<Connection>,
}

impl Client {
    /// Creates a client whose requests name `node` as the sender.
    #[must_use]
    pub fn new(node: units::Node, settings: Settings, meter: Meter) -> Self {
        let shared = Shared {
            node,
            settings,
            meter,
            connections: cell::RefCell::default(),
            idle_handles: cell::RefCell::default(),
            use_clock: cell::Cell::new(0),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Traffic counters of the client.
    #[must_use]
    pub fn meter(&self) -> &Meter {
        &self.shared.meter
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.connections.borrow().len()
    }

    /// Closes all connections; in-flight requests fail.
    pub fn close(self) {
        for entry in self.shared.connections.take() {
            entry.connection.close();
        }
    }
}

impl Link for Client {
    async fn call(
        &self,
        to: units::Address,
        service: &'static str,
        payload: Vec<u8>,
        timeout: time::Duration,
    ) -> Result<Vec<u8>, Error> {
        let request = wire::Request {
            from: self.shared.node.to_string(),
            service: service.to_owned(),
            payload,
        };
        let request = request.encode_to_vec();
        if request.len() > self.shared.settings.message_limit.as_len() {
            return Err(Error::Invalid);
        }
        let (sender, receiver) = oneshot::channel();
        let shared = self.shared.clone();
        // A separate task lets the NNG operation complete when the future of the call is dropped early.
        let task = async move {
            let answer = shared.send_request(to, service, &request, timeout).await;
            let _ = sender.send(answer);
        };
        runtime::spawn(task).detach();
        receiver.await.unwrap_or(Err(Error::Timeout))
    }
}

impl Shared {
    async fn send_request(
        &self,
        to: units::Address,
        service: &'static str,
        request: &[u8],
        timeout: time::Duration,
    ) -> Result<Vec<u8>, Error> {
        let connection = self.connection(to)?;
        let aio = self.acquire_handle()?;
        self.meter.add_sent(service, request.len());
        let answer = connection.request(&aio, request, timeout).await;
        self.idle_handles.borrow_mut().push(aio);
        match answer {
            Ok((reply, bytes)) => {
                self.meter.add_received(service, bytes);
                into_result(reply)
            }
            Err(error) => {
                self.meter.add_failed(service);
                // NNG does not detect an unresponsive connection, so the next request opens a new one.
                self.remove_connection(to, &connection);
                Err(error)
            }
        }
    }

    fn connection(&self, to: units::Address) -> Result<rc::Rc<Connection>, Error> {
        let last_use = self.use_clock.get() + 1;
        self.use_clock.set(last_use);
        let mut connections = self.connections.borrow_mut();
        let index = match connections.binary_search_by_key(&to, |entry| entry.address) {
            Ok(index) => {
                connections[index].last_use = last_use;
                return Ok(connections[index].connection.clone());
            }
            Err(index) => index,
        };
        let connection = Connection::open(to, &self.settings)
            .map_err(|error| Error::Transport(compact_str::format_compact!("{error}")))?;
        let connection = rc::Rc::new(connection);
        let entry = Entry {
            address: to,
            last_use,
            connection: connection.clone(),
        };
        connections.insert(index, entry);
        let evicted = evict(&mut connections, self.settings.open_peers);
        drop(connections);
        drop(evicted);
        Ok(connection)
    }

    fn remove_connection(&self, to: units::Address, failed: &rc::Rc<Connection>) {
        let mut connections = self.connections.borrow_mut();
        let Ok(index) = connections.binary_search_by_key(&to, |entry| entry.address) else {
            return;
        };
        if rc::Rc::ptr_eq(&connections[index].connection, failed) {
            let removed = connections.remove(index);
            drop(connections);
            // Dropped without closing, so that other requests on this connection can complete.
            drop(removed);
        }
    }

    fn acquire_handle(&self) -> Result<AioHandle, Error> {
        let idle = self.idle_handles.borrow_mut().pop();
        match idle {
            Some(aio) => Ok(aio),
            None => AioHandle::new()
                .map_err(|error| Error::Transport(compact_str::format_compact!("{error}"))),
        }
    }
}

/// Removes the least recently used connection above `limit`; in-flight requests keep using it.
fn evict(connections: &mut Vec<Entry>, limit: usize) -> Option<Entry> {
    if connections.len() <= limit {
        return None;
    }
    let oldest = connections
        .iter()
        .enumerate()
        .min_by_key(|(_, entry)| entry.last_use);
    let index = oldest.map(|(index, _)| index)?;
    Some(connections.remove(index))
}

fn into_result(reply: wire::Reply) -> Result<Vec<u8>, Error> {
    match reply.status() {
        wire::reply::Status::Ok => Ok(reply.payload),
        wire::reply::Status::Invalid => Err(Error::Invalid),
        wire::reply::Status::Busy => {
            let retry_after = time::Duration::from_millis(reply.retry_after_ms.into());
            Err(Error::Busy(retry_after))
        }
    }
}
