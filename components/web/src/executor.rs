//! Runs hyper's background tasks on the current compio thread.

/// Spawns futures on the current thread; unlike `cyper_core`'s it does not ask for `Send`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Executor;

impl<F> hyper::rt::Executor<F> for Executor
where
    F: Future<Output = ()> + 'static,
{
    fn execute(&self, task: F) {
        compio::runtime::spawn(task).detach();
    }
}
