//! Sends requests to other nodes over NNG.

use std::cell;
use std::rc;
use std::time;

use compio::runtime;
use futures_channel::oneshot;
use prost::Message;
use schema::peer as wire;

use crate::connection::Connection;
use crate::exchange::Exchange;
use crate::{Error, Link, Meter, Settings};

/// Sends requests to other nodes; clones share the connections.
///
/// A request is sent at most once; one without an answer may or may not have been handled.
#[derive(Clone)]
pub struct Client {
    shared: rc::Rc<Shared>,
}

struct Shared {
    node: units::Node,
    settings: Settings,
    meter: Meter,
    /// Sorted by address.
    open: cell::RefCell<Vec<Open>>,
    /// Handles for reuse; as many as there were requests at a time.
    idle: cell::RefCell<Vec<Exchange>>,
    /// Number of the last use of any connection.
    uses: cell::Cell<u64>,
}

struct Open {
    to: units::Address,
    used: u64,
    connection: rc::Rc<Connection>,
}

impl Client {
    /// A client that sends as `node`.
    #[must_use]
    pub fn new(node: units::Node, settings: Settings, meter: Meter) -> Self {
        let shared = Shared {
            node,
            settings,
            meter,
            open: cell::RefCell::default(),
            idle: cell::RefCell::default(),
            uses: cell::Cell::new(0),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Counters of the traffic.
    #[must_use]
    pub fn meter(&self) -> &Meter {
        &self.shared.meter
    }

    /// Number of connections that are open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.open.borrow().len()
    }

    /// Closes all connections; requests in flight fail.
    pub fn close(self) {
        for open in self.shared.open.take() {
            open.connection.close();
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
        // A task of its own ends the operation of NNG properly when the caller gives up waiting.
        let work = async move {
            let answer = shared.exchange(to, service, &request, timeout).await;
            let _ = sender.send(answer);
        };
        runtime::spawn(work).detach();
        receiver.await.unwrap_or(Err(Error::Timeout))
    }
}

impl Shared {
    async fn exchange(
        &self,
        to: units::Address,
        service: &'static str,
        request: &[u8],
        timeout: time::Duration,
    ) -> Result<Vec<u8>, Error> {
        let connection = self.connection(to)?;
        let exchange = self.take_idle()?;
        self.meter.add_sent(service, request.len());
        let answer = connection.request(&exchange, request, timeout).await;
        self.idle.borrow_mut().push(exchange);
        match answer {
            Ok((reply, bytes)) => {
                self.meter.add_received(service, bytes);
                read(reply)
            }
            Err(error) => {
                self.meter.add_failed(service);
                // NNG does not notice a silent connection; the next request opens a new one.
                self.retire(to, &connection);
                Err(error)
            }
        }
    }

    fn connection(&self, to: units::Address) -> Result<rc::Rc<Connection>, Error> {
        let used = self.uses.get() + 1;
        self.uses.set(used);
        let mut open = self.open.borrow_mut();
        let place = match open.binary_search_by_key(&to, |one| one.to) {
            Ok(place) => {
                open[place].used = used;
                return Ok(open[place].connection.clone());
            }
            Err(place) => place,
        };
        let connection = Connection::open(to, &self.settings)
            .map_err(|error| Error::Transport(compact_str::format_compact!("{error}")))?;
        let connection = rc::Rc::new(connection);
        let entry = Open {
            to,
            used,
            connection: connection.clone(),
        };
        open.insert(place, entry);
        let evicted = evict(&mut open, self.settings.open_peers);
        drop(open);
        drop(evicted);
        Ok(connection)
    }

    fn retire(&self, to: units::Address, failed: &rc::Rc<Connection>) {
        let mut open = self.open.borrow_mut();
        let Ok(place) = open.binary_search_by_key(&to, |one| one.to) else {
            return;
        };
        if rc::Rc::ptr_eq(&open[place].connection, failed) {
            let retired = open.remove(place);
            drop(open);
            // Dropped rather than closed, so that other requests on it run to their own end.
            drop(retired);
        }
    }

    fn take_idle(&self) -> Result<Exchange, Error> {
        let idle = self.idle.borrow_mut().pop();
        match idle {
            Some(exchange) => Ok(exchange),
            None => Exchange::new()
                .map_err(|error| Error::Transport(compact_str::format_compact!("{error}"))),
        }
    }
}

/// Takes out the least recently used connection beyond `limit`; requests in flight still use it.
fn evict(open: &mut Vec<Open>, limit: usize) -> Option<Open> {
    if open.len() <= limit {
        return None;
    }
    let oldest = open.iter().enumerate().min_by_key(|(_, one)| one.used);
    let place = oldest.map(|(place, _)| place)?;
    Some(open.remove(place))
}

fn read(reply: wire::Reply) -> Result<Vec<u8>, Error> {
    match reply.status() {
        wire::reply::Status::Ok => Ok(reply.payload),
        wire::reply::Status::Invalid => Err(Error::Invalid),
        wire::reply::Status::Busy => {
            let wait = time::Duration::from_millis(reply.retry_after_ms.into());
            Err(Error::Busy(wait))
        }
    }
}
