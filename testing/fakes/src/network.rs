//! In-memory network between nodes with switchable faults.

use std::cell;
use std::rc;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Link;

type Rule = rc::Rc<dyn Fn(units::Address, units::Address) -> bool>;

/// A network between nodes in one process; clones share it.
#[derive(Clone)]
pub struct Network {
    shared: rc::Rc<Shared>,
}

struct Shared {
    /// Sorted by address.
    places: cell::RefCell<Vec<Place>>,
    cut: cell::RefCell<Option<Rule>>,
    tally: cell::RefCell<Option<Rule>>,
    tallied: cell::Cell<u64>,
    loss: cell::Cell<f64>,
    delay: cell::Cell<time::Duration>,
    random: cell::RefCell<StdRng>,
}

/// A node that takes requests.
#[derive(Clone)]
pub(crate) struct Place {
    pub(crate) address: units::Address,
    pub(crate) router: rc::Rc<peer::Router>,
    pub(crate) meter: peer::Meter,
    /// Set when the node has crashed: nothing leaves it any more.
    pub(crate) crashed: rc::Rc<cell::Cell<bool>>,
}

impl Network {
    /// A network without faults, whose losses are drawn from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let shared = Shared {
            places: cell::RefCell::default(),
            cut: cell::RefCell::default(),
            tally: cell::RefCell::default(),
            tallied: cell::Cell::default(),
            loss: cell::Cell::new(0.0),
            delay: cell::Cell::default(),
            random: cell::RefCell::new(StdRng::seed_from_u64(seed)),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// The link of `node`, which is at `address`.
    #[must_use]
    pub fn link(&self, node: units::Node, address: units::Address) -> Link {
        Link::new(self.clone(), node, address)
    }

    /// Loses messages for which `rule` holds, from the sender's address to the receiver's.
    pub fn cut(&self, rule: impl Fn(units::Address, units::Address) -> bool + 'static) {
        *self.shared.cut.borrow_mut() = Some(rc::Rc::new(rule));
    }

    /// Counts messages for which `rule` holds, from the sender's address to the receiver's.
    pub fn tally(&self, rule: impl Fn(units::Address, units::Address) -> bool + 'static) {
        *self.shared.tally.borrow_mut() = Some(rc::Rc::new(rule));
        self.shared.tallied.set(0);
    }

    /// Messages counted so far.
    #[must_use]
    pub fn tallied(&self) -> u64 {
        self.shared.tallied.get()
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        *self.shared.cut.borrow_mut() = None;
    }

    /// Loses this share of the messages, from 0 to 1.
    pub fn set_loss(&self, loss: f64) {
        self.shared.loss.set(loss);
    }

    /// Delays each message by `delay`.
    pub fn set_delay(&self, delay: time::Duration) {
        self.shared.delay.set(delay);
    }

    /// Crashes the node at `address`: nothing reaches or leaves it until a new link serves there.
    pub fn crash(&self, address: units::Address) {
        let mut places = self.shared.places.borrow_mut();
        if let Ok(place) = places.binary_search_by_key(&address, |place| place.address) {
            places.remove(place).crashed.set(true);
        }
    }

    pub(crate) fn add(&self, added: Place) {
        let mut places = self.shared.places.borrow_mut();
        match places.binary_search_by_key(&added.address, |place| place.address) {
            Ok(place) => places[place] = added,
            Err(place) => places.insert(place, added),
        }
    }

    pub(crate) fn find(&self, address: units::Address) -> Option<Place> {
        let places = self.shared.places.borrow();
        let place = places.binary_search_by_key(&address, |place| place.address);
        place.ok().map(|place| places[place].clone())
    }

    /// Carries one message; `false` when it is lost.
    pub(crate) async fn carry(&self, from: units::Address, to: units::Address) -> bool {
        let tally = self.shared.tally.borrow().clone();
        if tally.is_some_and(|rule| rule(from, to)) {
            self.shared.tallied.set(self.shared.tallied.get() + 1);
        }
        let rule = self.shared.cut.borrow().clone();
        if rule.is_some_and(|rule| rule(from, to)) {
            return false;
        }
        let draw: f64 = self.shared.random.borrow_mut().random();
        let delay = self.shared.delay.get();
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        draw >= self.shared.loss.get()
    }
}
