//! Start and ordered shutdown of services.

use std::future;
use std::time;

use compio::runtime;

use crate::{Registry, Stop, Trigger, stop};

/// A part of a process that runs until it is asked to stop.
pub trait Service: 'static {
    /// Name under which the service is known in logs.
    const NAME: &'static str;

    /// Runs until `stop` is requested, then ends what is in flight and returns.
    fn run(self, stop: Stop) -> impl future::Future<Output = ()> + 'static;
}

/// The services of one process.
#[derive(Default)]
pub struct Kernel {
    registry: std::rc::Rc<Registry>,
    running: Vec<Running>,
}

struct Running {
    name: &'static str,
    trigger: Trigger,
    task: runtime::JoinHandle<()>,
}

impl Kernel {
    /// Longest time that one service may take to stop.
    pub const STOP_LIMIT: time::Duration = time::Duration::from_secs(30);

    /// Time above which the stop of a service is told.
    const SLOW_STOP: time::Duration = time::Duration::from_millis(250);

    /// A kernel without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The names of the services and their handles.
    #[must_use]
    pub fn registry(&self) -> std::rc::Rc<Registry> {
        self.registry.clone()
    }

    /// Starts `service`; it stops before all that were started earlier.
    pub fn start<S: Service>(&mut self, service: S) {
        self.start_task(S::NAME, |stop| service.run(stop));
    }

    /// Starts the task that `run` makes; it stops before all that were started earlier.
    pub fn start_task<F>(&mut self, name: &'static str, run: impl FnOnce(Stop) -> F)
    where
        F: future::Future<Output = ()> + 'static,
    {
        let (trigger, stop) = stop();
        log::debug!(service = name; "service starts");
        let task = runtime::spawn(run(stop));
        self.running.push(Running {
            name,
            trigger,
            task,
        });
    }

    /// Stops the services one by one, the last started first.
    pub async fn close(mut self) {
        while let Some(running) = self.running.pop() {
            running.close().await;
        }
    }
}

impl Running {
    async fn close(self) {
        self.trigger.fire();
        let started = time::Instant::now();
        let ended = compio::time::timeout(Kernel::STOP_LIMIT, self.task).await;
        let took = started.elapsed();
        match ended {
            Ok(Ok(())) if took >= Kernel::SLOW_STOP => {
                let took_ms = units::millis(took);
                log::info!(service = self.name, took_ms = took_ms; "service stopped late");
            }
            Ok(Ok(())) => log::debug!(service = self.name; "service stopped"),
            Ok(Err(_)) => log::error!(service = self.name; "service panicked"),
            Err(_) => log::error!(service = self.name; "service did not stop in time"),
        }
    }
}
