//! Asks others for what is newer.

use std::rc;
use std::time;

use platform::Store;
use prost::Message;
use rand::seq::IndexedRandom;
use schema::relay as wire;

use crate::encoding;
use crate::shared::Shared;

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// First wait of a starting node between two questions.
    const FIRST_WAIT: time::Duration = time::Duration::from_millis(25);

    /// Asks a random node while the state of this one is in doubt.
    pub(crate) async fn run_pulls(self: rc::Rc<Self>, stop: kernel::Stop) {
        let mut wait = Self::FIRST_WAIT;
        while stop.sleep(wait).await {
            if !self.is_known() {
                stop.guard(self.pull_from_any()).await;
                wait = (wait * 2).min(self.times.answer);
                continue;
            }
            wait = self.times.answer;
            let now = time::Instant::now();
            if !self.is_watch_healthy() && self.coverage.get().is_stale(now, &self.times) {
                stop.guard(self.pull_from_any()).await;
            }
        }
    }

    async fn pull_from_any(self: &rc::Rc<Self>) {
        let chosen = self.others().choose(&mut rand::rng()).cloned();
        if let Some(member) = chosen {
            self.pull(member.peer_address).await;
        }
    }

    /// Asks the first of the data centre, then any node; whether anything new came of it.
    pub(crate) async fn pull_news(self: &rc::Rc<Self>) -> bool {
        let ranks = self.ranks();
        let mut first = ranks.first(&self.parts.data_centre, 1);
        let first = first.find(|member| member.node != self.parts.node);
        let any = self.others().choose(&mut rand::rng()).cloned();
        for member in first.into_iter().chain(any.as_ref()) {
            if self.pull(member.peer_address).await {
                return true;
            }
        }
        false
    }

    /// Asks `node` for what this one lacks, unless it is asking already.
    pub(crate) fn start_pull_from(self: &rc::Rc<Self>, node: &units::Node) {
        if self.fetching.replace(true) {
            return;
        }
        let view = self.parts.members.get();
        let address = view.member(node).map(|member| member.peer_address);
        let shared = self.clone();
        compio::runtime::spawn(async move {
            match address {
                Some(address) => {
                    shared.pull(address).await;
                }
                None => shared.pull_from_any().await,
            }
            shared.fetching.set(false);
        })
        .detach();
    }

    /// Asks the node at `to`; whether anything new came of it.
    async fn pull(self: &rc::Rc<Self>, to: units::Address) -> bool {
        let before = self.heads();
        let whole = self.whole.replace(false);
        let heads = self.feeds.iter().filter_map(|feed| {
            let feed = feed.borrow();
            if whole {
                return None;
            }
            Some(wire::Head {
                prefix: feed.prefix().to_owned(),
                revision: feed.head()?.0,
            })
        });
        let pull = wire::Pull {
            heads: heads.collect(),
        };
        self.count(|counts| counts.pulled += 1);
        let news = self.call(to, wire::request::Kind::Pull(pull)).await;
        let news = news.unwrap_or_default();
        if news {
            self.spread_news(&before);
        }
        news
    }

    /// Answers a request of another node.
    pub(crate) fn serve(self: &rc::Rc<Self>, incoming: peer::Incoming) {
        let Ok(request) = wire::Request::decode(incoming.payload.as_slice()) else {
            self.count(|counts| counts.malformed += 1);
            return incoming.answer.invalid();
        };
        let heads: Vec<_> = match &request.kind {
            Some(wire::request::Kind::Pull(pull)) => pull.heads.clone(),
            Some(wire::request::Kind::Push(push)) => push.parts.iter().map(head).collect(),
            None => return incoming.answer.invalid(),
        };
        let reply = wire::Reply {
            parts: self.beyond(&heads),
            age_ms: units::millis(self.age()),
        };
        incoming.answer.send(reply.encode_to_vec());
        if let Some(wire::request::Kind::Push(push)) = request.kind {
            self.take_push(&incoming.from, push);
        }
    }

    /// What this node knows beyond `heads`.
    fn beyond(&self, heads: &[wire::Head]) -> Vec<wire::Part> {
        let feeds = self.feeds.iter().filter_map(|feed| {
            let feed = feed.borrow();
            let told = heads.iter().find(|head| head.prefix == feed.prefix());
            let told = told.map(|head| platform::Revision(head.revision));
            if told.is_some() && feed.head() <= told {
                return None;
            }
            encoding::encode(&feed, told)
        });
        feeds.collect()
    }
}

/// How far the sender of a part knows its feed.
fn head(part: &wire::Part) -> wire::Head {
    wire::Head {
        prefix: part.prefix.clone(),
        revision: part.head,
    }
}
