//! Plug-ins and their life cycle.

use std::{
    error::Error,
    fmt,
    thread::JoinHandle, //
};

use error_stack::{
    Report,
    ResultExt, //
};

/// Stage in which a plug-in starts. The stages start in this order and stop in the reverse order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Metrics and traces.
    Telemetry,
    /// Connections to the platform and to other daemons.
    Link,
    /// Budgets, bills, routing and configuration.
    Core,
    /// Interfaces to callers and operators.
    Interface,
}

/// Error of a plug-in that did not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartError {
    /// Name of the plug-in.
    pub name: &'static str,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the plug-in {} did not start", self.name)
    }
}

impl Error for StartError {}

/// A registered part of the daemon. `C` is the type of the context that plug-ins share.
#[derive(Debug)]
pub struct Plugin<C: 'static> {
    /// Name for logs and errors.
    pub name: &'static str,
    /// Stage in which it starts.
    pub stage: Stage,
    /// Function that starts it.
    pub start: fn(&C) -> Result<PluginThread, Report<StartError>>,
}

/// Thread of a running plug-in; it ends when its stop channel is closed.
#[derive(Debug)]
pub struct PluginThread {
    stop: flume::Sender<()>,
    thread: JoinHandle<()>,
}

impl PluginThread {
    /// Runs `body` in a thread called `name`. `body` must return soon after the receiver that it gets
    /// is disconnected.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::kernel::PluginThread;
    /// let running = PluginThread::spawn("wait", |stop| {
    ///     let _ = stop.recv();
    /// });
    /// running.stop();
    /// ```
    pub fn spawn<F>(name: &str, body: F) -> Self
    where
        F: FnOnce(flume::Receiver<()>) + Send + 'static,
    {
        let (stop, stopped) = flume::bounded(0);
        let thread = std::thread::Builder::new()
            .name(name.into())
            .spawn(move || body(stopped))
            .expect("failed to start a thread");
        Self { stop, thread }
    }

    /// Closes the stop channel and waits for the thread to end.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::kernel::PluginThread;
    /// PluginThread::spawn("short", |_| ()).stop();
    /// ```
    pub fn stop(self) {
        drop(self.stop);
        if self.thread.join().is_err() {
            log::error!("a plug-in thread panicked");
        }
    }
}

/// The running plug-ins of a daemon, in the order in which they were started.
#[derive(Debug)]
pub struct PluginHost {
    running: Vec<(&'static str, PluginThread)>,
}

impl PluginHost {
    /// Starts `plugins` in the order of their stages.
    ///
    /// # Errors
    ///
    /// Fails when a plug-in does not start; those started before it are stopped again.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::kernel::{PluginHost, Plugin, PluginThread, Stage};
    /// static WAIT: Plugin<u32> = Plugin {
    ///     name: "wait",
    ///     stage: Stage::Core,
    ///     start: |_| Ok(PluginThread::spawn("wait", |stop| { let _ = stop.recv(); })),
    /// };
    /// let kernel = PluginHost::start([&WAIT], &7).unwrap();
    /// kernel.stop();
    /// ```
    pub fn start<C: 'static>(
        plugins: impl IntoIterator<Item = &'static Plugin<C>>,
        context: &C,
    ) -> Result<Self, Report<StartError>> {
        let mut plugins: Vec<_> = plugins.into_iter().collect();
        plugins.sort_by_key(|plugin| (plugin.stage, plugin.name));
        let mut kernel = Self {
            running: Vec::new(),
        };
        for plugin in plugins {
            match (plugin.start)(context).change_context(StartError { name: plugin.name }) {
                Ok(running) => kernel.running.push((plugin.name, running)),
                Err(report) => {
                    kernel.stop();
                    return Err(report);
                }
            }
        }
        Ok(kernel)
    }

    /// Stops all plug-ins in the reverse order of their start.
    ///
    /// # Examples
    ///
    /// ```
    /// let none: [&cuminloom::kernel::Plugin<()>; 0] = [];
    /// cuminloom::kernel::PluginHost::start(none, &()).unwrap().stop();
    /// ```
    pub fn stop(mut self) {
        while let Some((name, running)) = self.running.pop() {
            log::debug!("stopping plug-in {name}");
            running.stop();
        }
    }
}
