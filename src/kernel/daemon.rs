//! The daemon: starts its plug-ins with their shared context, and stops them.

use std::{
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration,
};

use error_stack::{
    Report,
    ResultExt, //
};

use super::{
    Clock,
    Context,
    CurrentConfig,
    Plugin,
    PluginHost,
    Queues,
    StartError, //
};
use crate::{
    caller::PendingForwards,
    claim::Claims,
    config::ConfigState,
    node, route,
    settings::Settings,
    store::HttpStore,
    telemetry::{
        Exporter,
        Metrics,
        Tracer, //
    },
};

/// A plug-in that gets the context of the daemon.
pub type DaemonPlugin = Plugin<Arc<Context>>;

inventory::collect!(DaemonPlugin);

/// Finished spans that may wait for the exporter.
const MAX_QUEUED_SPANS: usize = 4_096;

/// Time for which new requests are still served after the daemon stops reporting that it is ready,
/// until the load balancer sends no more.
const BALANCER_DELAY: Duration = Duration::from_secs(3);

/// Longest time that a planned stop waits for requests in progress.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(900);

/// Longest time that a planned stop waits for the platform to store bills and budget rows.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which a planned stop checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    kernel: PluginHost,
    stop: flume::Receiver<()>,
}

impl Daemon {
    /// Starts a daemon with all registered plug-ins.
    ///
    /// # Errors
    ///
    /// Fails when the fleet secret can't be read or a plug-in does not start.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use cuminloom::{kernel::Daemon, settings::Settings};
    /// let settings = Settings::load("examples/anod.jsonc").unwrap();
    /// let daemon = Daemon::start(settings).unwrap();
    /// daemon.drain();
    /// ```
    pub fn start(settings: Settings) -> Result<Self, Report<StartError>> {
        let (stop_out, stop) = flume::bounded(1);
        let context = Arc::new(build_context(settings, stop_out)?);
        let plugins = inventory::iter::<DaemonPlugin>.into_iter();
        let kernel = PluginHost::start(plugins, &context)?;
        let daemon = &context.settings.daemon;
        log::info!("daemon {} started in data centre {}", daemon.id, daemon.dc);
        Ok(Self {
            context,
            kernel,
            stop,
        })
    }

    /// Returns a sender by which another thread requests a planned stop.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn stop(daemon: &cuminloom::kernel::Daemon) {
    /// daemon.stop_sender().send(()).unwrap();
    /// daemon.wait_for_stop();
    /// # }
    /// ```
    pub fn stop_sender(&self) -> flume::Sender<()> {
        self.context.stop_sender.clone()
    }

    /// Waits until a planned stop is requested, by [`Daemon::stop_sender`] or by the configuration.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn run(daemon: cuminloom::kernel::Daemon) {
    /// daemon.wait_for_stop();
    /// daemon.drain();
    /// # }
    /// ```
    pub fn wait_for_stop(&self) {
        let _ = self.stop.recv();
    }

    /// Runs a planned stop: the load balancer sees that the daemon is not ready, requests in progress
    /// finish, bills are committed, budget shares are returned and the fence row is sealed. Returns
    /// whether all of this was done in time.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn stop(daemon: cuminloom::kernel::Daemon) {
    /// assert!(daemon.drain());
    /// # }
    /// ```
    pub fn drain(self) -> bool {
        log::info!("stopping");
        self.context.stopping.store(true, Ordering::Relaxed);
        std::thread::sleep(BALANCER_DELAY);
        let clock = &self.context.clock;
        let start = clock.now();
        while self.context.metrics.open_requests.get() > 0 && clock.now() - start < DRAIN_TIMEOUT {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.context.node.begin_stop();
        let mut stopped = self.context.node.wait_stopped(STOP_TIMEOUT);
        stopped &= self.context.claims.flush(&self.context.store).is_ok();
        self.kernel.stop();
        log::info!(
            "stopped{}",
            if stopped {
                ""
            } else {
                " before the platform confirmed it"
            }
        );
        stopped
    }
}

/// Builds the shared context with its handles and channels.
fn build_context(
    settings: Settings,
    stop: flume::Sender<()>,
) -> Result<Context, Report<StartError>> {
    let secret: Arc<[u8]> = settings
        .peer
        .secret
        .load()
        .change_context(StartError { name: "settings" })?
        .bytes()
        .into();
    let clock = Clock::start();
    let (store_out, store) = flume::unbounded();
    let (peers_out, peers) = flume::unbounded();
    let (changes_out, changes) = flume::unbounded();
    let (strikes_out, strikes) = flume::unbounded();
    let (notices_out, notices) = flume::unbounded();
    let (loads_out, loads) = flume::unbounded();
    let (forwards_out, forwards) = flume::unbounded();
    let (wake_out, wake_config) = flume::bounded(1);
    let outbox = node::Outbox {
        store_requests: store_out,
        peer_messages: peers_out,
        state_changes: changes_out,
    };
    let identity = node::Identity {
        daemon: settings.daemon.id.clone(),
        vm: settings.daemon.vm.clone(),
        dc: settings.daemon.dc.clone(),
        vm_list_lag: settings.platform.vm_list_lag,
    };
    let metrics = Metrics::register();
    let routing = route::Settings {
        max_queue: settings.queue.max_urgent.max(settings.queue.max_patient),
        headroom: settings.queue.headroom,
        ..route::Settings::new(settings.daemon.dc.clone())
    };
    let node = node::Handle::new(identity, rand::random(), clock, outbox);
    let process = node.incarnation();
    Ok(Context {
        claims: Claims::new(Arc::clone(&process), &secret),
        node,
        router: route::Handle::new(routing, rand::random(), clock, strikes_out),
        tracer: start_tracer(&settings),
        store: HttpStore::new(settings.platform.addr),
        config: CurrentConfig::default(),
        config_state: Arc::new(Mutex::new(ConfigState::default())),
        peer_status: Mutex::default(),
        version_notices: notices_out,
        vms: Mutex::new(Arc::from([])),
        local_daemons: Mutex::default(),
        load_reports: loads_out,
        forwards: PendingForwards::new(forwards_out),
        wake_config: wake_out,
        queues: Queues {
            store_requests: store,
            peer_messages: peers,
            state_changes: changes,
            strikes,
            version_notices: notices,
            load_reports: loads,
            forwards,
            wake_config,
        },
        stopping: AtomicBool::new(false),
        stop_sender: stop,
        settings,
        secret,
        process,
        clock,
        metrics,
    })
}

/// Starts the export of traces when the settings name a collector.
fn start_tracer(settings: &Settings) -> Tracer {
    let Some(addr) = settings.trace.addr else {
        return Tracer::disabled();
    };
    let (sink, spans) = flume::bounded(MAX_QUEUED_SPANS);
    Exporter::spawn(addr, settings.daemon.id.clone(), spans);
    Tracer::new(sink)
}
