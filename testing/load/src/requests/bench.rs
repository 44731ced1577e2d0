//! The mesh that a phase runs on: ingress nodes without a backend server, and one service.

use std::time;

use radishgap_backend::Faults;

use super::Variant;
use crate::caller::{Call, Connection, Outcome, Protocol};
use crate::driver::Driver;
use crate::failure::Failure;
use crate::fleet::{Error, Mesh, Ports, Shape, Site, Usage};
use crate::operator::{self, Operator};
use crate::variant::{Baseline, Value};

/// A mesh with its service and route in force.
pub struct Bench {
    /// The processes.
    pub mesh: Mesh,
}

/// Round robin over announced backend servers with three blind retries.
const BASELINE: Baseline = Baseline {
    section: "requests",
    key: "baseline",
    value: Value::Truth(true),
};

impl Bench {
    /// Host of every call.
    pub const HOST: &'static str = "strings.example";
    /// Path of the service.
    pub const PATH: &'static str = "/book";
    /// The service.
    pub const SERVICE: &'static str = "bookdesk";
    /// Nodes that take calls and have no backend server.
    pub const INGRESSES: usize = 2;
    /// Backend servers.
    pub const BACKENDS: usize = 5;
    /// Time for the mesh to be in order before a phase.
    const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(60);

    /// The shape of every phase, in one data centre.
    ///
    /// # Errors
    /// Never: the names are valid.
    pub fn shape(variant: Variant, seed: u64) -> Result<Shape, units::Error> {
        let mut sites = Vec::new();
        for number in 0..Self::INGRESSES {
            sites.push(Site::bare(&format!("ingress-{number}"), "lautoka")?);
        }
        for number in 0..Self::BACKENDS {
            let node = format!("owner-{number}");
            sites.push(Site::new(&node, "lautoka", Self::SERVICE, "v1")?);
        }
        let mut shape = Shape::new("fiji-west", sites)?;
        shape.seed = seed;
        shape.log_level = telemetry::Level::Warn;
        variant.set(&mut shape, BASELINE);
        Ok(shape)
    }

    /// Starts the mesh and puts the route in force, with `timeout` as its deadline.
    ///
    /// # Errors
    /// See [`Failure`].
    pub async fn start(shape: Shape, timeout: units::Period) -> Result<Self, Failure> {
        let mesh = Mesh::start(shape).await?;
        let operator = Operator::open(mesh.addresses().vm(0, Ports::OPERATOR)).await?;
        let puts = vec![
            operator::service(Self::SERVICE, "v1"),
            operator::route(Self::HOST, Self::PATH, Self::SERVICE, timeout),
        ];
        operator.apply(puts).await?;
        let bench = Self { mesh };
        bench.await_answers().await?;
        Ok(bench)
    }

    /// Callers' addresses of the ingress nodes.
    #[must_use]
    pub fn ingresses(&self) -> Vec<units::Address> {
        let vm = |index| self.mesh.addresses().vm(index, Ports::CALLERS);
        (0..Self::INGRESSES).map(vm).collect()
    }

    /// Addresses of the backend servers themselves.
    #[must_use]
    pub fn backends(&self) -> Vec<units::Address> {
        let vm = |index| self.mesh.addresses().vm(index, Ports::BACKEND);
        Self::sites().map(vm).collect()
    }

    /// Sites with a backend server.
    pub fn sites() -> impl Iterator<Item = usize> {
        Self::INGRESSES..Self::INGRESSES + Self::BACKENDS
    }

    /// Callers that go through the mesh.
    #[must_use]
    pub fn callers(&self) -> Driver {
        Driver::new(self.ingresses())
    }

    /// Sets the faults of every backend server.
    pub async fn set_faults(&mut self, faults: &Faults) {
        for site in Self::sites() {
            self.mesh.set_faults(site, faults).await;
        }
    }

    /// Processor time of all nodes so far, in seconds.
    #[must_use]
    pub fn node_cpu(&self) -> f64 {
        let nodes = self.mesh.nodes.iter().flatten();
        let usages = nodes.filter_map(crate::fleet::Process::usage);
        usages.map(|usage: Usage| usage.cpu_s).sum()
    }

    /// Waits until each ingress has had answers from every backend server.
    async fn await_answers(&self) -> Result<(), Failure> {
        for address in self.ingresses() {
            let mut instances: Vec<String> = Vec::new();
            let what = format!("answers of all backend servers through {address}");
            let waited = Mesh::await_condition(&what, Self::SETTLE_LIMIT, async || {
                if let Some(instance) = probe(address).await
                    && !instances.contains(&instance)
                {
                    instances.push(instance);
                }
                instances.len() == Self::BACKENDS
            });
            waited.await.map_err(|error| match error {
                Error::Late { what, limit } => Error::Late {
                    what: format!("{what} ({} of them did)", instances.len()),
                    limit,
                },
                other => other,
            })?;
        }
        Ok(())
    }
}

/// The process that answered one call through `address`.
async fn probe(address: units::Address) -> Option<String> {
    let connection = Connection::open(address, Protocol::Http2).await.ok()?;
    let id = units::Operation::random();
    let call = Call::get(id.as_str(), Bench::HOST, Bench::PATH);
    let seen = call.run(&connection).await;
    (seen.outcome == Outcome::Answered).then(|| seen.instance.to_string())
}
