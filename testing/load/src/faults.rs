//! Schedules of faults, drawn from a seed.

use std::os::unix::process::ExitStatusExt;
use std::time;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng, rngs};
use serde::Serialize;

use crate::fleet::{Error, Mesh, Process, Signal};

/// What is done to a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Kills the backend server and starts it again at the end.
    KillBackend,
    /// Kills the node and starts it again at the end.
    KillNode,
    /// Kills both and starts them again at the end.
    KillVm,
    /// Freezes the backend server until the end.
    FreezeBackend,
    /// Freezes the node until the end.
    FreezeNode,
    /// Makes the open connections to the backend server silent for good.
    Silence,
    /// Stops the backend server gracefully and starts it again at the end.
    Drain,
    /// Makes the platform fail until the end.
    PlatformOutage,
    /// Makes the platform slow and lose answers until the end.
    PlatformLosses,
}

impl Action {
    /// Whether the backend server does not run until the end of the fault.
    fn ends_backend(self) -> bool {
        matches!(self, Self::KillBackend | Self::KillVm | Self::Drain)
    }
}

units::record! { eq:
    /// One fault.
    #[derive(Serialize)]
    pub struct Fault {
        /// When it begins, from the start of the schedule.
        pub begin: units::Period,
        /// When it ends.
        pub end: units::Period,
        /// Site that it strikes.
        pub site: usize,
        /// What it is.
        pub action: Action,
    }
}

/// What a schedule may hold.
#[derive(Debug, Clone)]
pub struct Draw {
    /// Length of the schedule.
    pub length: units::Period,
    /// Mean time between the beginnings of two faults.
    pub every: units::Period,
    /// Shortest and longest fault.
    pub lasting: (units::Period, units::Period),
    /// Sites that may be struck.
    pub sites: Vec<usize>,
    /// Faults that may strike.
    pub actions: Vec<Action>,
}

/// Settings of the platform's faults.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct PlatformFaults {
    outage: bool,
    slow_ms: u64,
    lose_answers: f64,
    drop_watches: bool,
}

impl Draw {
    /// Part of the schedule at either end without faults.
    const MARGIN: f64 = 0.1;

    /// The faults in the order of their beginning; the same seed gives the same ones. Each site
    /// has at most one fault at a time.
    #[must_use]
    pub fn schedule(&self, seed: u64) -> Vec<Fault> {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let mut faults: Vec<Fault> = Vec::new();
        let margin = self.length.0.mul_f64(Self::MARGIN);
        let mut begin = margin;
        while begin + self.lasting.1.0 + margin < self.length.0 {
            let lasting = random.random_range(self.lasting.0.0..=self.lasting.1.0);
            let free: Vec<_> = self
                .sites
                .iter()
                .filter(|site| !is_struck(&faults, **site, begin))
                .collect();
            let drawn = (free.choose(&mut random), self.actions.choose(&mut random));
            if let (Some(site), Some(action)) = drawn {
                faults.push(Fault {
                    begin: units::Period(begin),
                    end: units::Period(begin + lasting),
                    site: **site,
                    action: *action,
                });
            }
            begin += self.every.0.mul_f64(random.random_range(0.2..=1.8));
        }
        faults
    }
}

fn is_struck(faults: &[Fault], site: usize, at: time::Duration) -> bool {
    let of_site = faults.iter().filter(|fault| fault.site == site);
    of_site.clone().any(|fault| fault.end.0 >= at)
}

/// Signal by which the stand-in ends at a crash request: SIGABRT.
const CRASH_SIGNAL: i32 = 6;

/// How many faults struck, and what went wrong with the processes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Struck {
    /// Number of faults by kind.
    pub counts: Vec<(Action, u64)>,
    /// Connections that went silent.
    pub silenced: usize,
    /// Graceful stops that did not end with exit code 0.
    pub bad_stops: Vec<String>,
}

impl Struck {
    fn count(&mut self, action: Action) {
        match self.counts.binary_search_by_key(&action, |(one, _)| *one) {
            Ok(place) => self.counts[place].1 += 1,
            Err(place) => self.counts.insert(place, (action, 1)),
        }
    }
}

/// Beginning or end of a fault.
struct Step {
    at: time::Duration,
    begins: bool,
    fault: Fault,
}

/// Time between two looks for crashed backend servers.
const REVIVE_EVERY: time::Duration = time::Duration::from_millis(500);

/// Carries out `faults` from now on for `length`, and starts backend servers again that a crash
/// request has ended.
///
/// # Errors
/// A process that cannot be started again.
pub async fn strike(
    mesh: &mut Mesh,
    faults: &[Fault],
    length: units::Period,
) -> Result<Struck, Error> {
    let started = time::Instant::now();
    let mut steps: Vec<_> = faults.iter().flat_map(steps_of).collect();
    steps.sort_by_key(|step| step.at);
    let mut struck = Struck::default();
    let mut down = vec![false; mesh.backends.len()];
    for step in steps {
        revive_until(mesh, &down, started + step.at).await?;
        down[step.fault.site] = step.begins && step.fault.action.ends_backend();
        if step.begins {
            struck.count(step.fault.action);
            begin(mesh, &step.fault, &mut struck).await;
        } else {
            end(mesh, &step.fault, &mut struck).await?;
        }
    }
    revive_until(mesh, &down, started + length.0).await?;
    Ok(struck)
}

/// Until `until`, starts backend servers again that ended though nothing struck them.
async fn revive_until(mesh: &mut Mesh, down: &[bool], until: time::Instant) -> Result<(), Error> {
    loop {
        for (site, down) in down.iter().enumerate() {
            let ended = mesh.backends[site]
                .as_mut()
                .is_some_and(|process| !process.is_running());
            if ended && !down {
                mesh.start_backend(site)?;
            }
        }
        let now = time::Instant::now();
        if now >= until {
            return Ok(());
        }
        compio::time::sleep((until - now).min(REVIVE_EVERY)).await;
    }
}

fn steps_of(fault: &Fault) -> [Step; 2] {
    let step = |at: units::Period, begins| Step {
        at: at.0,
        begins,
        fault: fault.clone(),
    };
    [step(fault.begin, true), step(fault.end, false)]
}

async fn begin(mesh: &mut Mesh, fault: &Fault, struck: &mut Struck) {
    let site = fault.site;
    match fault.action {
        Action::KillBackend => kill(&mut mesh.backends[site]),
        Action::KillNode => kill(&mut mesh.nodes[site]),
        Action::KillVm => {
            kill(&mut mesh.nodes[site]);
            kill(&mut mesh.backends[site]);
        }
        Action::FreezeBackend => send(&mesh.backends[site], Signal::Stop),
        Action::FreezeNode => send(&mesh.nodes[site], Signal::Stop),
        Action::Silence => {
            let relay = mesh.relays[site].as_ref();
            struck.silenced += relay.map_or(0, crate::relay::Relay::silence);
        }
        Action::Drain => {
            // A process that has just started does not handle signals yet; one that does not get
            // ready is found when its drain is awaited.
            let _ = mesh.await_backend(site).await;
            send(&mesh.backends[site], Signal::Terminate);
        }
        Action::PlatformOutage => {
            let faults = PlatformFaults {
                outage: true,
                ..PlatformFaults::default()
            };
            mesh.set_platform_faults(&faults).await;
        }
        Action::PlatformLosses => {
            let faults = PlatformFaults {
                slow_ms: 200,
                lose_answers: 0.3,
                drop_watches: true,
                ..PlatformFaults::default()
            };
            mesh.set_platform_faults(&faults).await;
        }
    }
}

async fn end(mesh: &mut Mesh, fault: &Fault, struck: &mut Struck) -> Result<(), Error> {
    let site = fault.site;
    match fault.action {
        Action::KillBackend => mesh.start_backend(site),
        Action::Drain => {
            await_drain(mesh, site, struck).await;
            mesh.start_backend(site)
        }
        Action::KillNode => mesh.start_node(site),
        Action::KillVm => {
            mesh.start_node(site)?;
            mesh.start_backend(site)
        }
        Action::FreezeBackend => {
            send(&mesh.backends[site], Signal::Continue);
            Ok(())
        }
        Action::FreezeNode => {
            send(&mesh.nodes[site], Signal::Continue);
            Ok(())
        }
        Action::Silence => Ok(()),
        Action::PlatformOutage | Action::PlatformLosses => {
            mesh.set_platform_faults(&PlatformFaults::default()).await;
            Ok(())
        }
    }
}

/// Waits until the backend server of `site` has stopped gracefully.
async fn await_drain(mesh: &mut Mesh, site: usize, struck: &mut Struck) {
    let Some(process) = &mut mesh.backends[site] else {
        return;
    };
    let problem = match process.ended().await {
        Ok(status) if status.success() => return,
        // A crash request ran while it was leaving.
        Ok(status) if status.signal() == Some(CRASH_SIGNAL) => return,
        Ok(status) => format!("{} stopped with {status}", process.name()),
        Err(error) => error.to_string(),
    };
    struck.bad_stops.push(problem);
}

fn kill(process: &mut Option<Process>) {
    if let Some(process) = process {
        process.kill();
    }
}

fn send(process: &Option<Process>, signal: Signal) {
    if let Some(process) = process {
        process.send(signal);
    }
}
