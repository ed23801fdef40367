//! Tasks that run as long as the process.

use std::{
    future::Future,
    time::Duration, //
};

use tokio::{
    task::{
        JoinHandle,
        spawn_local, //
    },
    time::sleep,
};

/// Pause before a task that has failed is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Spawns a task that runs as long as the process, and starts it anew if it panics or ends.
///
/// # Examples
///
/// ```
/// use std::{cell::Cell, rc::Rc, time::Duration};
/// use cuminloom_edge::fleet::spawn_service;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// let starts = Rc::new(Cell::new(0));
/// tokio::task::LocalSet::new().block_on(&runtime, async {
///     let count = Rc::clone(&starts);
///     let service = spawn_service("example", move || {
///         count.set(count.get() + 1);
///         async { panic!("an unexpected error") }
///     });
///     tokio::time::sleep(Duration::from_millis(500)).await;
///     service.abort();
/// });
/// assert!(starts.get() > 1);
/// ```
pub fn spawn_service<F, T>(name: &'static str, start: F) -> JoinHandle<()>
where
    F: Fn() -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        loop {
            match spawn_local(start()).await {
                Ok(()) => log::error!("event=task_ended task={name}"),
                Err(e) => log::error!("event=task_failed task={name} error=\"{e}\""),
            }
            sleep(RESTART_PAUSE).await;
        }
    })
}
