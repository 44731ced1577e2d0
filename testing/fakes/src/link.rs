//! Link of one node on the in-memory network.

use std::cell;
use std::future;
use std::rc;
use std::time;

use prost::Message;
use schema::peer as wire;

use crate::Network;
use crate::network::Place;

/// Link of one node; clones share the counters.
#[derive(Clone)]
pub struct Link {
    network: Network,
    node: units::Node,
    address: units::Address,
    meter: peer::Meter,
    crashed: rc::Rc<cell::Cell<bool>>,
}

impl Link {
    pub(crate) fn new(network: Network, node: units::Node, address: units::Address) -> Self {
        Self {
            network,
            node,
            address,
            meter: peer::Meter::default(),
            crashed: rc::Rc::default(),
        }
    }

    /// Counters of what the node sent and received.
    #[must_use]
    pub fn meter(&self) -> &peer::Meter {
        &self.meter
    }

    /// Hands the requests for this node to `router` from now on.
    pub fn serve(&self, router: peer::Router) {
        self.network.add(Place {
            address: self.address,
            router: rc::Rc::new(router),
            meter: self.meter.clone(),
            crashed: self.crashed.clone(),
        });
    }

    async fn exchange(
        &self,
        to: units::Address,
        service: &'static str,
        payload: Vec<u8>,
    ) -> wire::Reply {
        let request = wire::Request {
            from: self.node.to_string(),
            service: service.to_owned(),
            payload,
        };
        let bytes = request.encoded_len();
        if self.crashed.get() {
            return future::pending().await;
        }
        self.meter.add_sent(service, bytes);
        let arrived = self.network.carry(self.address, to).await;
        let Some(place) = self.network.find(to).filter(|_| arrived) else {
            return future::pending().await;
        };
        place.meter.add_received(service, bytes);
        let (answer, receiver) = peer::Answer::channel();
        let incoming = peer::Incoming {
            from: self.node.clone(),
            payload: request.payload,
            answer,
        };
        place.router.route(service, incoming);
        let Ok(reply) = receiver.await else {
            return future::pending().await;
        };
        place.meter.add_sent(service, reply.encoded_len());
        if !self.network.carry(to, self.address).await {
            return future::pending().await;
        }
        self.meter.add_received(service, reply.encoded_len());
        reply
    }
}

impl peer::Link for Link {
    async fn call(
        &self,
        to: units::Address,
        service: &'static str,
        payload: Vec<u8>,
        timeout: time::Duration,
    ) -> Result<Vec<u8>, peer::Error> {
        let exchange = self.exchange(to, service, payload);
        let Ok(reply) = compio::time::timeout(timeout, exchange).await else {
            self.meter.add_failed(service);
            return Err(peer::Error::Timeout);
        };
        match reply.status() {
            wire::reply::Status::Ok => Ok(reply.payload),
            wire::reply::Status::Invalid => Err(peer::Error::Invalid),
            wire::reply::Status::Busy => {
                let wait = time::Duration::from_millis(reply.retry_after_ms.into());
                Err(peer::Error::Busy(wait))
            }
        }
    }
}
