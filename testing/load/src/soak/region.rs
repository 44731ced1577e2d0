//! Regions of the users.

use std::fmt;
use std::str;

use radishgap_backend::{ColdStart, Distribution, ServiceTime};

use crate::fleet::{Shape, Site};

/// A region that the mesh is shaped like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Region {
    /// Vuniwai Strings Bookings.
    FijiWest,
    /// Repas Complices.
    QcEast,
}

impl Region {
    /// Host of every call.
    pub const HOST: &'static str = "users.example";
    /// Version that has the traffic at first.
    pub const OLD: &'static str = "v1";
    /// Version that the traffic moves to.
    pub const NEW: &'static str = "v2";

    /// Data centres.
    #[must_use]
    pub fn data_centres(self) -> &'static [&'static str] {
        match self {
            Self::FijiWest => &["lautoka", "nadi", "ba", "sigatoka"],
            Self::QcEast => &["qc-east-a", "qc-east-b", "qc-east-c"],
        }
    }

    /// Services, and the number of their upstreams.
    #[must_use]
    pub fn services(self) -> [(&'static str, usize); 3] {
        match self {
            Self::FijiWest => [("slotboard", 5), ("bookdesk", 4), ("panelhall", 4)],
            Self::QcEast => [("archives", 4), ("reservations", 4), ("menus", 3)],
        }
    }

    /// One-way latency between a caller and the region.
    #[must_use]
    pub fn client_latency(self) -> units::Period {
        match self {
            Self::FijiWest => units::Period::from_millis(1),
            Self::QcEast => units::Period::from_millis(3),
        }
    }

    fn slots(self) -> (u32, u32) {
        match self {
            Self::FijiWest => (20, 120),
            Self::QcEast => (10, 110),
        }
    }

    /// The mesh: the last upstream of each service runs the new version, the others the old one.
    ///
    /// # Errors
    /// Never: the names are valid.
    pub fn shape(self, seed: u64) -> Result<Shape, units::Error> {
        let mut sites = Vec::new();
        for (service, count) in self.services() {
            for number in 0..count {
                let centres = self.data_centres();
                let centre = centres[number % centres.len()];
                let version = if number + 1 == count {
                    Self::NEW
                } else {
                    Self::OLD
                };
                let node = format!("{service}-{number}");
                sites.push(Site::new(&node, centre, service, version)?);
            }
        }
        let mut shape = Shape::new(&self.to_string(), sites)?;
        (shape.slots, shape.connections) = self.slots();
        shape.service_time = ServiceTime {
            distribution: Distribution::Exponential,
            mean: units::Period::from_millis(5),
        };
        shape.cold_start = ColdStart {
            starting: units::Period::from_millis(300),
            slow_requests: 10,
            slow_by: units::Period::from_millis(20),
        };
        shape.drain = units::Period::from_secs(3);
        shape.relayed = Some(units::Period::default());
        shape.seed = seed;
        // Few steps, so that a move within a short run sees enough requests at each.
        shape.set("moves", "steps", STEPS.to_vec());
        // At this level nodes log each version that comes into force.
        shape.log_level = telemetry::Level::Debug;
        Ok(shape)
    }
}

/// Shares that a new version gets one after the other.
const STEPS: [&str; 4] = ["5%", "25%", "50%", "100%"];

impl fmt::Display for Region {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::FijiWest => "fiji-west",
            Self::QcEast => "qc-east",
        })
    }
}

impl str::FromStr for Region {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "fiji-west" => Ok(Self::FijiWest),
            "qc-east" => Ok(Self::QcEast),
            _ => Err(units::Error::new(text, "`fiji-west` or `qc-east`")),
        }
    }
}
