//! The seed objects on the platform, through which nodes find each other.

use std::time;

use prost::Message;
use rand::seq::SliceRandom;
use schema::membership as wire;

use crate::Ranks;
use crate::shared::Shared;

/// How new the seed objects have to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seeds {
    /// As they are.
    Newest,
    /// As they were some seconds ago: seeds change slowly.
    Stale,
}

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Prefix of the seed objects on the platform.
    const SEED_PREFIX: &'static str = "seed/";
    /// Longest time that the platform may take to list the seeds.
    const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

    /// Addresses from the seed objects, those of the own data centre first, and whether the platform
    /// was read.
    pub(crate) async fn find_seeds(&self) -> (Vec<units::Address>, bool) {
        let own = format!("{}{}", Self::SEED_PREFIX, self.identity.data_centre);
        // Nodes that start together write seeds later, and look for them again then.
        let objects = self.list_seeds(Seeds::Stale).await;
        let mut near = Vec::new();
        let mut far = Vec::new();
        for object in objects.iter().flatten() {
            let list = if object.key.as_str() == own {
                &mut near
            } else {
                &mut far
            };
            list.extend(decode_seeds(&object.value));
        }
        near.shuffle(&mut rand::rng());
        far.shuffle(&mut rand::rng());
        near.append(&mut far);
        near.retain(|address| *address != self.identity.peer_address);
        (near, objects.is_some())
    }

    /// The seed objects; `None` when the platform cannot be read.
    async fn list_seeds(&self, wanted: Seeds) -> Option<Vec<platform::Object>> {
        let listing = async {
            match wanted {
                Seeds::Newest => self.store.list(Self::SEED_PREFIX).await,
                Seeds::Stale => self.store.list_stale(Self::SEED_PREFIX).await,
            }
        };
        let listing = compio::time::timeout(Self::STORE_TIMEOUT, listing).await;
        listing.ok()?.ok().map(|listing| listing.objects)
    }

    /// Looks for parts of the mesh that this node does not know, and keeps the seed object.
    pub(crate) async fn check_seeds(&self) {
        for seed in self.unknown(&self.seeds) {
            self.compare_with(seed).await;
        }
        let own = &self.identity;
        if !self
            .scope()
            .ranks()
            .is_first(&own.data_centre, 1, &own.node)
        {
            return;
        }
        let alone = self.scope().near().is_empty();
        let wanted = if alone { Seeds::Newest } else { Seeds::Stale };
        let Some(objects) = self.list_seeds(wanted).await else {
            return;
        };
        let met = self.meet_all(&objects).await;
        let own = own.data_centre.as_str();
        let is_kept = objects
            .iter()
            .any(|object| object.key.as_str().strip_prefix(Self::SEED_PREFIX) == Some(own));
        // Those who met others leave it to the one that ranks first among them all.
        if !(alone && met && is_kept) {
            self.keep_seeds(&objects).await;
        }
    }

    /// Meets one unknown node of each seed object, which knows the others of its data centre; whether
    /// any answered.
    async fn meet_all(&self, objects: &[platform::Object]) -> bool {
        let mut met = false;
        for object in objects {
            for seed in self.unknown(&decode_seeds(&object.value)) {
                if self.compare_with(seed).await {
                    met = true;
                    break;
                }
            }
        }
        met
    }

    /// Those of `seeds` at which no member is known.
    pub(crate) fn unknown(&self, seeds: &[units::Address]) -> Vec<units::Address> {
        let table = self.table.borrow();
        let known = |seed: &&units::Address| {
            let records = table.records();
            records
                .iter()
                .any(|record| record.member.peer_address == **seed)
        };
        let unknown = seeds.iter().filter(|seed| !known(seed));
        unknown.copied().collect()
    }

    /// Writes the seed object when it names too few running members of the data centre.
    async fn keep_seeds(&self, objects: &[platform::Object]) {
        let own = &self.identity.data_centre;
        let Ok(key) = format!("{}{own}", Self::SEED_PREFIX).parse::<platform::Key>() else {
            return;
        };
        let scope = self.scope();
        let first = scope.ranks().first(own, Ranks::KEPT);
        let wanted: Vec<_> = first.map(|member| member.peer_address).collect();
        let present = objects.iter().find(|object| object.key == key);
        let listed = present.map(|object| decode_seeds(&object.value));
        let listed = listed.unwrap_or_default();
        let usable = wanted.iter().filter(|address| listed.contains(address));
        if usable.count() >= wanted.len().div_ceil(2) {
            return;
        }
        let value = encode_seeds(&wanted);
        let written = match present {
            Some(object) => self.store.update(&key, object.revision, value).await,
            None => self.store.create(&key, value).await,
        };
        if let Err(error) = written {
            log::debug!(error:% = error; "the seed object was not written");
        }
    }
}

fn encode_seeds(addresses: &[units::Address]) -> Vec<u8> {
    let addresses = addresses.iter().map(ToString::to_string).collect();
    wire::Seeds { addresses }.encode_to_vec()
}

/// The addresses in a seed object; those that cannot be read are left out.
fn decode_seeds(value: &[u8]) -> Vec<units::Address> {
    let seeds = wire::Seeds::decode(value).unwrap_or_default();
    let parsed = seeds.addresses.iter().map(|address| address.parse());
    parsed.filter_map(Result::ok).collect()
}
