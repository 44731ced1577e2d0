//! The processes of one mesh.

use std::fs;
use std::path;
use std::time;

use radishgap_backend::{Event, Faults};

use super::settings;
use super::{Addresses, Binaries, Console, Error, Folder, Ports, Process, Shape, Site};
use crate::plain;
use crate::relay::Relay;

/// A platform, nodes and backend servers as processes; all are killed when it is dropped.
pub struct Mesh {
    shape: Shape,
    /// Faults of the backend servers, in the order of the sites.
    faults: Vec<Faults>,
    addresses: Addresses,
    binaries: Binaries,
    /// The platform stand-in.
    pub platform: Process,
    /// Nodes in the order of the sites; `None` while one was never started.
    pub nodes: Vec<Option<Process>>,
    /// Backend servers in the order of the sites; `None` where a site has none.
    pub backends: Vec<Option<Process>>,
    /// Relays in front of the backend servers, in the order of the sites.
    pub relays: Vec<Option<Relay>>,
    // Last, so that the processes have ended before their folder is removed.
    folder: Folder,
}

impl Mesh {
    /// Token of the operators.
    pub const TOKEN: &'static str = "radishgap-load-token";
    /// Time for processes to become ready; generous, since the machine may be busy.
    pub const READY_LIMIT: time::Duration = time::Duration::from_secs(60);
    /// Pause between two looks at a condition.
    const POLL: time::Duration = time::Duration::from_millis(20);
    /// Nodes that every node is told of beside the platform's seeds.
    const SEEDS: usize = 3;

    /// Starts every process of `shape` and waits until all are ready.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn start(shape: Shape) -> Result<Self, Error> {
        let mut mesh = Self::start_platform(shape).await?;
        for index in 0..mesh.shape.sites.len() {
            mesh.start_node(index)?;
        }
        for index in 0..mesh.shape.sites.len() {
            mesh.start_relay(index).await?;
            mesh.start_backend(index)?;
        }
        mesh.await_ready().await?;
        Ok(mesh)
    }

    /// Starts the platform only.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn start_platform(shape: Shape) -> Result<Self, Error> {
        let binaries = Binaries::beside().map_err(Error::system("cannot find the programs"))?;
        let addresses = Addresses::free().map_err(Error::system("no free addresses"))?;
        let folder = Folder::create().map_err(Error::system("cannot create a folder"))?;
        let listen = addresses.platform(Ports::PLATFORM);
        let platform = settings::Platform {
            listen,
            control: addresses.platform(Ports::PLATFORM_CONTROL),
            log_level: shape.log_level,
            seed: shape.seed,
        };
        let file = folder
            .write("platform.json", &platform)
            .map_err(Error::system("cannot write settings"))?;
        let program = binaries.program("radishgap-platform");
        let platform = Process::start("platform", program, file)?;
        let sites = shape.sites.len();
        let mut mesh = Self {
            faults: vec![shape.faults.clone(); sites],
            shape,
            addresses,
            binaries,
            platform,
            nodes: (0..sites).map(|_| None).collect(),
            backends: (0..sites).map(|_| None).collect(),
            relays: (0..sites).map(|_| None).collect(),
            folder,
        };
        let control = mesh.addresses.platform(Ports::PLATFORM_CONTROL);
        mesh.await_answer("platform", control, "/counts", |mesh| {
            mesh.platform.check_running()
        })
        .await?;
        Ok(mesh)
    }

    /// What the mesh consists of.
    #[must_use]
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Folder of settings, logs and records.
    pub fn folder(&mut self) -> &mut Folder {
        &mut self.folder
    }

    /// Addresses of the processes.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Starts the node of site `index`, again where it ended.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn start_node(&mut self, index: usize) -> Result<(), Error> {
        if let Some(process) = &mut self.nodes[index] {
            return process.restart();
        }
        let settings = self.node_settings(index);
        let name = settings.node.to_string();
        let process = self.launch(&name, "radishgap-node", &settings)?;
        self.nodes[index] = Some(process);
        Ok(())
    }

    /// Starts the backend server of site `index`, again where it ended; without one nothing happens.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn start_backend(&mut self, index: usize) -> Result<(), Error> {
        if let Some(process) = &mut self.backends[index] {
            return process.restart();
        }
        let Some(settings) = self.backend_settings(index) else {
            return Ok(());
        };
        let name = format!("{}-backend", self.site(index).node);
        let process = self.launch(&name, "radishgap-backend", &settings)?;
        self.backends[index] = Some(process);
        Ok(())
    }

    /// Starts the relay of site `index`, where the shape has one.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn start_relay(&mut self, index: usize) -> Result<(), Error> {
        let (Some(delay), Some(_)) = (self.shape.relayed, &self.site(index).backend) else {
            return Ok(());
        };
        let listen = self.addresses.vm(index, Ports::RELAY);
        let target = self.addresses.vm(index, Ports::BACKEND);
        let relay = Relay::open(listen, target, delay.0).await;
        self.relays[index] = Some(relay.map_err(Error::system("cannot start a relay"))?);
        Ok(())
    }

    /// Gives site `index` another version of its service; it is in effect from the next start on.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn set_version(&mut self, index: usize, version: &str) -> Result<(), Error> {
        if let Some((_, current)) = &mut self.shape.sites[index].backend {
            *current = version.into();
        }
        self.rewrite_backend(index)
    }

    /// Writes the settings of the backend server of site `index` again.
    fn rewrite_backend(&self, index: usize) -> Result<(), Error> {
        let Some(settings) = self.backend_settings(index) else {
            return Ok(());
        };
        let name = format!("{}-backend.json", self.site(index).node);
        let written = self.folder.write(&name, &settings);
        written
            .map(drop)
            .map_err(Error::system("cannot write settings"))
    }

    /// Waits until every started node and backend server is ready.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn await_ready(&mut self) -> Result<(), Error> {
        for index in 0..self.nodes.len() {
            self.await_node(index).await?;
        }
        for index in 0..self.backends.len() {
            self.await_backend(index).await?;
        }
        Ok(())
    }

    /// Waits until the node of site `index` says that it is ready.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn await_node(&mut self, index: usize) -> Result<(), Error> {
        if self.nodes[index].is_none() {
            return Ok(());
        }
        let name = self.site(index).node.to_string();
        let admin = self.addresses.vm(index, Ports::ADMIN);
        let alive = move |mesh: &mut Self| check(&mut mesh.nodes[index]);
        self.await_answer(&name, admin, "/ready", alive).await
    }

    /// Waits until the backend server of site `index` answers on its control port.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn await_backend(&mut self, index: usize) -> Result<(), Error> {
        if self.backends[index].is_none() {
            return Ok(());
        }
        let name = format!("{}-backend", self.site(index).node);
        let control = self.addresses.vm(index, Ports::BACKEND_CONTROL);
        let alive = move |mesh: &mut Self| check(&mut mesh.backends[index]);
        self.await_answer(&name, control, "/counts", alive).await
    }

    /// The operators' command line towards the node of site `index`.
    #[must_use]
    pub fn console(&self, index: usize) -> Console {
        let program = self.binaries.program("radishgapctl");
        let operator = self.addresses.vm(index, Ports::OPERATOR);
        Console::new(program, operator, Self::TOKEN)
    }

    /// Sets the faults of the backend server of site `index`, also for its next starts; `false`
    /// when it does not answer.
    pub async fn set_faults(&mut self, index: usize, faults: &Faults) -> bool {
        self.faults[index] = faults.clone();
        if self.rewrite_backend(index).is_err() {
            return false;
        }
        let control = self.addresses.vm(index, Ports::BACKEND_CONTROL);
        plain::post(control, "/faults", faults)
            .await
            .is_ok_and(|reply| reply.status.is_success())
    }

    /// Sets the faults of the platform; `false` when it does not answer.
    pub async fn set_platform_faults<T: serde::Serialize>(&self, faults: &T) -> bool {
        let control = self.addresses.platform(Ports::PLATFORM_CONTROL);
        let reply = plain::post(control, "/faults", faults).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Every event that the backend servers wrote down, those of crashed processes included.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn events(&self) -> Result<Vec<Event>, Error> {
        let mut events = Vec::new();
        for index in 0..self.backends.len() {
            let path = self.record_file(index);
            if let Ok(text) = fs::read_to_string(path) {
                // The last line of a killed process may be cut.
                let lines = text.lines();
                events.extend(lines.filter_map(|line| serde_json::from_str(line).ok()));
            }
        }
        Ok(events)
    }

    /// Waits until `condition` holds.
    ///
    /// # Errors
    /// [`Error::Late`] when it does not within `limit`.
    pub async fn await_condition(
        what: &str,
        limit: time::Duration,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<(), Error> {
        let started = time::Instant::now();
        while started.elapsed() < limit {
            if condition().await {
                return Ok(());
            }
            compio::time::sleep(Self::POLL).await;
        }
        Err(Error::Late {
            what: what.to_owned(),
            limit: units::Period(limit),
        })
    }

    async fn await_answer(
        &mut self,
        name: &str,
        address: units::Address,
        path: &str,
        mut alive: impl FnMut(&mut Self) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let started = time::Instant::now();
        while started.elapsed() < Self::READY_LIMIT {
            alive(self)?;
            let reply = plain::get(address, path).await;
            if reply.is_ok_and(|reply| reply.status.is_success()) {
                return Ok(());
            }
            compio::time::sleep(Self::POLL).await;
        }
        Err(Error::Late {
            what: format!("the readiness of {name}"),
            limit: units::Period(Self::READY_LIMIT),
        })
    }

    fn site(&self, index: usize) -> &Site {
        &self.shape.sites[index]
    }

    fn launch<T: serde::Serialize>(
        &self,
        name: &str,
        program: &str,
        settings: &T,
    ) -> Result<Process, Error> {
        let written = self.folder.write(&format!("{name}.json"), settings);
        let file = written.map_err(Error::system("cannot write settings"))?;
        Process::start(name, self.binaries.program(program), file)
    }

    fn record_file(&self, index: usize) -> path::PathBuf {
        let name = format!("{}-record.jsonl", self.site(index).node);
        self.folder.path().join(name)
    }

    fn node_settings(&self, index: usize) -> settings::Node {
        let site = self.site(index);
        let vm = |port| self.addresses.vm(index, port);
        let others = (0..self.shape.sites.len()).filter(|other| *other != index);
        let seeds = others.take(Self::SEEDS);
        settings::Node {
            node: site.node.clone(),
            data_centre: site.data_centre.clone(),
            region: self.shape.region.clone(),
            callers: vm(Ports::CALLERS),
            mesh: vm(Ports::MESH),
            peer: vm(Ports::PEER),
            operator: vm(Ports::OPERATOR),
            announce: vm(Ports::ANNOUNCE),
            admin: vm(Ports::ADMIN),
            platform: self.addresses.platform(Ports::PLATFORM),
            seeds: seeds
                .map(|other| self.addresses.vm(other, Ports::PEER))
                .collect(),
            log_level: self.shape.log_level,
            operator_token: Self::TOKEN.to_owned(),
            further: self.shape.further.clone(),
        }
    }

    fn backend_settings(&self, index: usize) -> Option<radishgap_backend::Settings> {
        let (service, version) = self.site(index).backend.clone()?;
        let vm = |port| self.addresses.vm(index, port);
        Some(radishgap_backend::Settings {
            listen: vm(Ports::BACKEND),
            advertise: self.shape.relayed.map(|_| vm(Ports::RELAY)),
            announce: Some(vm(Ports::ANNOUNCE)),
            control: Some(vm(Ports::BACKEND_CONTROL)),
            service,
            version,
            slots: self.shape.slots,
            connections: self.shape.connections,
            log_level: self.shape.log_level,
            cold_start: self.shape.cold_start.clone(),
            service_time: self.shape.service_time.clone(),
            drain: self.shape.drain,
            faults: self.faults[index].clone(),
            record_file: Some(self.record_file(index)),
            record_limit: 1_000,
            seed: self.shape.seed + index as u64,
        })
    }
}

fn check(process: &mut Option<Process>) -> Result<(), Error> {
    process.as_mut().map_or(Ok(()), Process::check_running)
}
