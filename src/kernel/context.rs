//! What the plug-ins of a daemon share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use prometheus::IntGauge;

use crate::{
    admin::PeerStatus,
    caller::{
        Forwards,
        Outgoing, //
    },
    claim::Claims,
    config,
    kernel::Clock,
    mirror,
    model::{
        Configuration,
        DaemonId,
        Incarnation,
        TargetId,
        Version, //
    },
    node, route,
    settings::Settings,
    store::{
        HttpStore,
        Vm, //
    },
    telemetry::{
        Metrics,
        Tracer, //
    },
};

/// The configuration in force, replaced as a whole.
#[derive(Debug, Default)]
pub struct CurrentConfig(RwLock<Arc<Configuration>>);

impl CurrentConfig {
    /// The configuration in force.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::kernel::CurrentConfig::default().load().version, 0);
    /// ```
    pub fn load(&self) -> Arc<Configuration> {
        self.0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force unless a later one is in force already; returns whether it was
    /// put in force. An accepted configuration never reverts.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use cuminloom::{kernel::CurrentConfig, model::Configuration};
    /// let cell = CurrentConfig::default();
    /// let later = Configuration { version: 2, ..Configuration::default() };
    /// assert!(cell.store(Arc::new(later)));
    /// let earlier = Configuration { version: 1, ..Configuration::default() };
    /// assert!(!cell.store(Arc::new(earlier)));
    /// assert_eq!(cell.load().version, 2);
    /// ```
    pub fn store(&self, config: Arc<Configuration>) -> bool {
        let mut cell = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if config.version < cell.version {
            return false;
        }
        *cell = config;
        true
    }
}

/// Handles and settings that the plug-ins of a daemon share.
#[derive(Debug)]
pub struct Context {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Fleet secret.
    pub secret: Arc<[u8]>,
    /// Name of this process: its first incarnation. It stays when the node starts a new one.
    pub process: Incarnation,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// Spans of requests.
    pub tracer: Tracer,
    /// The platform.
    pub store: HttpStore,
    /// Configuration in force.
    pub config: CurrentConfig,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Budgets, bills and mirror.
    pub node: node::Handle,
    /// Queues and target choice.
    pub router: route::Handle,
    /// Accepted edits and the configuration that they make.
    pub config_state: Arc<Mutex<config::ConfigState>>,
    /// What the other daemons have confirmed.
    pub confirmed: Mutex<BTreeMap<DaemonId, PeerStatus>>,
    /// The platform's list of VMs, as last read.
    pub vms: Mutex<Arc<[Vm]>>,
    /// Daemons of the same data centre that are alive.
    pub local_daemons: Mutex<Vec<DaemonId>>,
    /// Load reports for peers.
    pub load_reports: flume::Sender<Vec<(TargetId, route::Load)>>,
    /// Wakes the thread that reads the head of the configuration.
    pub wake_config: flume::Sender<()>,
    /// Requests that were passed on to other daemons.
    pub(crate) forwards: Forwards,
    /// Versions of which peers are to be told.
    pub version_notices: flume::Sender<Version>,
    /// Work that one plug-in leaves for another.
    pub queues: Queues,
    /// Whether the daemon was told to stop.
    pub stopping: AtomicBool,
    /// Asks for a planned stop of the daemon.
    pub stop: flume::Sender<()>,
}

/// Channels between plug-ins; each receiver is drained by one plug-in.
#[derive(Debug)]
pub struct Queues {
    /// Platform operations of the node.
    pub store: flume::Receiver<(u64, mirror::Request)>,
    /// Messages of the node to peers.
    pub peers: flume::Receiver<(Incarnation, mirror::Message)>,
    /// State changes of the node for the log.
    pub changes: flume::Receiver<node::StateChange>,
    /// Strikes for peers.
    pub strikes: flume::Receiver<route::Strike>,
    /// Forwarded requests and their replies.
    pub(crate) forwards: flume::Receiver<Outgoing>,
    /// Load reports for peers.
    pub load_reports: flume::Receiver<Vec<(TargetId, route::Load)>>,
    /// Wake-ups of the thread that reads the head of the configuration.
    pub wake_config: flume::Receiver<()>,
    /// Accepted versions of the configuration for peers.
    pub version_notices: flume::Receiver<Version>,
}

impl Context {
    /// Whether the balancer may send new requests, or why not.
    ///
    /// # Errors
    ///
    /// Fails with a text for people when the daemon is stopping or has no configuration.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn check(ctx: &cuminloom::kernel::Context) {
    /// if let Err(reason) = ctx.readiness() {
    ///     println!("not ready: {reason}");
    /// }
    /// # }
    /// ```
    pub fn readiness(&self) -> Result<(), &'static str> {
        if self.stopping.load(Ordering::Relaxed) {
            return Err("the daemon is stopping");
        }
        if self.config.load().version == 0 {
            return Err("no configuration is in force yet");
        }
        Ok(())
    }

    /// Asks for a planned stop of the daemon; repeating it has no effect.
    pub(crate) fn request_stop(&self) {
        let _ = self.stop.try_send(());
    }

    /// Sets the gauges that are read from the machines when metrics are collected.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn show(ctx: &cuminloom::kernel::Context) {
    /// ctx.refresh_metrics();
    /// println!("{}", ctx.metrics.render());
    /// # }
    /// ```
    pub fn refresh_metrics(&self) {
        let figures = self.node.stats();
        let routing = self.router.stats();
        let gauge = |gauge: &IntGauge, value: u64| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        gauge(&self.metrics.config, self.config.load().version);
        gauge(&self.metrics.queued, routing.queued);
        gauge(&self.metrics.usable, routing.usable);
        gauge(&self.metrics.unbilled, figures.unbilled as u64);
        gauge(&self.metrics.backlog, figures.backlog as u64);
        gauge(&self.metrics.watched, figures.watched as u64);
        self.metrics.mode.reset();
        let mode = format!("{:?}", figures.mode).to_lowercase();
        self.metrics.mode.with_label_values(&[&mode]).set(1);
    }
}
