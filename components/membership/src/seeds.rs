//! Seed objects on the platform, through which nodes find each other.

use std::time;

use prost::Message;
use rand::seq::SliceRandom;
use schema::membership as wire;

use crate::Ranks;
use crate::shared::Shared;

/// Required freshness of the seed objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// Current objects.
    Newest,
    /// Objects may be out of date by a few seconds; seeds change slowly.
    Stale,
}

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Prefix of the seed objects on the platform.
    const SEED_PREFIX: &'static str = "seed/";
    /// Timeout of listing the seeds on the platform.
    const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

    /// Returns the addresses in the seed objects, those of the own data centre first, and whether the
    /// platform could be read.
    pub(crate) async fn find_seeds(&self) -> (Vec<units::Address>, bool) {
        let own = format!("{}{}", Self::SEED_PREFIX, self.identity.data_centre);
        // Nodes that start together write their seeds later and then check the seeds again.
        let objects = self.list_seeds(Freshness::Stale).await;
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

    /// Returns the seed objects; `None` if the platform cannot be read.
    async fn list_seeds(&self, freshness: Freshness) -> Option<Vec<platform::Object>> {
        let listing = async {
            match freshness {
                Freshness::Newest => self.store.list(Self::SEED_PREFIX).await,
                Freshness::Stale => self.store.list_stale(Self::SEED_PREFIX).await,
            }
        };
        let listing = compio::time::timeout(Self::STORE_TIMEOUT, listing).await;
        listing.ok()?.ok().map(|listing| listing.objects)
    }

    /// Contacts unknown seeds to find separate parts of the mesh, and updates the seed object.
    pub(crate) async fn check_seeds(&self) {
        for seed in self.unknown_addresses(&self.seeds) {
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
        let freshness = if alone {
            Freshness::Newest
        } else {
            Freshness::Stale
        };
        let Some(objects) = self.list_seeds(freshness).await else {
            return;
        };
        let reached = self.contact_unknown(&objects).await;
        let own = own.data_centre.as_str();
        let exists = objects
            .iter()
            .any(|object| object.key.as_str().strip_prefix(Self::SEED_PREFIX) == Some(own));
        // A node that has just found others leaves the update to the first-ranked member among them.
        if !(alone && reached && exists) {
            self.update_seed_object(&objects).await;
        }
    }

    /// Contacts one unknown node per seed object, which knows the others of its data centre; returns
    /// whether any node answered.
    async fn contact_unknown(&self, objects: &[platform::Object]) -> bool {
        let mut reached = false;
        for object in objects {
            for seed in self.unknown_addresses(&decode_seeds(&object.value)) {
                if self.compare_with(seed).await {
                    reached = true;
                    break;
                }
            }
        }
        reached
    }

    /// Returns the addresses in `seeds` that belong to no known member.
    pub(crate) fn unknown_addresses(&self, seeds: &[units::Address]) -> Vec<units::Address> {
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

    /// Writes the seed object if it lists fewer than half of the first-ranked members of the data centre.
    async fn update_seed_object(&self, objects: &[platform::Object]) {
        let own = &self.identity.data_centre;
        let Ok(key) = format!("{}{own}", Self::SEED_PREFIX).parse::<platform::Key>() else {
            return;
        };
        let scope = self.scope();
        let first = scope.ranks().first(own, Ranks::MEMBERS_PER_CENTRE);
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
            log::debug!(error:% = error; "failed to write the seed object");
        }
    }
}

fn encode_seeds(addresses: &[units::Address]) -> Vec<u8> {
    let addresses = addresses.iter().map(ToString::to_string).collect();
    wire::Seeds { addresses }.encode_to_vec()
}

/// Returns the addresses in a seed object; malformed ones are skipped.
fn decode_seeds(value: &[u8]) -> Vec<units::Address> {
    let seeds = wire::Seeds::decode(value).unwrap_or_default();
    let parsed = seeds.addresses.iter().map(|address| address.parse());
    parsed.filter_map(Result::ok).collect()
}
