//! State, handles and channels that the plug-ins of a daemon share.

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
        PeerMessage,
        PendingForwards, //
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

/// Cell that holds the configuration in force; it is replaced as a whole.
#[derive(Debug, Default)]
pub struct CurrentConfig(RwLock<Arc<Configuration>>);

impl CurrentConfig {
    /// Returns the configuration in force.
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

    /// Puts a configuration in force and returns `true`, or returns `false` when a later one is in
    /// force: the version in force never falls.
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
    /// Secret shared by the daemons of the fleet.
    pub secret: Arc<[u8]>,
    /// Name of this process: its first incarnation. It stays the same when the node starts another
    /// incarnation.
    pub process: Incarnation,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// Traces of requests.
    pub tracer: Tracer,
    /// Client of the platform's store.
    pub store: HttpStore,
    /// Configuration in force.
    pub config: CurrentConfig,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// The node: budgets, bills and mirror.
    pub node: node::Handle,
    /// The router: queues and the choice of targets.
    pub router: route::Handle,
    /// Accepted edits and the configuration that results from them.
    pub config_state: Arc<Mutex<config::ConfigState>>,
    /// Status of the other daemons, with the configuration version that each has confirmed.
    pub peer_status: Mutex<BTreeMap<DaemonId, PeerStatus>>,
    /// The platform's list of VMs, as last read.
    pub vms: Mutex<Arc<[Vm]>>,
    /// Live daemons of the same data centre.
    pub local_daemons: Mutex<Vec<DaemonId>>,
    /// Load reports for peers.
    pub load_reports: flume::Sender<Vec<(TargetId, route::Load)>>,
    /// Wakes the thread that reads the head of the configuration.
    pub wake_config: flume::Sender<()>,
    /// Requests forwarded to other daemons.
    pub(crate) forwards: PendingForwards,
    /// New configuration versions to announce to peers.
    pub version_notices: flume::Sender<Version>,
    /// Receiving ends of the channels between plug-ins.
    pub queues: Queues,
    /// Whether the daemon is stopping.
    pub stopping: AtomicBool,
    /// Requests a planned stop of the daemon.
    pub stop_sender: flume::Sender<()>,
}

/// Channels between plug-ins; each receiver is drained by one plug-in.
#[derive(Debug)]
pub struct Queues {
    /// Platform operations of the node.
    pub store_requests: flume::Receiver<(u64, mirror::StoreRequest)>,
    /// Messages of the node to peers.
    pub peer_messages: flume::Receiver<(Incarnation, mirror::Message)>,
    /// State changes of the node for the log.
    pub state_changes: flume::Receiver<node::StateChange>,
    /// Strikes to send to peers.
    pub strikes: flume::Receiver<route::Strike>,
    /// Forwarded requests and their replies.
    pub(crate) forwards: flume::Receiver<PeerMessage>,
    /// Load reports for peers.
    pub load_reports: flume::Receiver<Vec<(TargetId, route::Load)>>,
    /// Wake-ups of the thread that reads the head of the configuration.
    pub wake_config: flume::Receiver<()>,
    /// New configuration versions to announce to peers.
    pub version_notices: flume::Receiver<Version>,
}

impl Context {
    /// Whether the load balancer may send new requests to this daemon.
    ///
    /// # Errors
    ///
    /// Fails with a readable reason when the daemon is stopping or has no configuration.
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

    /// Requests a planned stop of the daemon; repeating the call has no effect.
    pub(crate) fn request_stop(&self) {
        let _ = self.stop_sender.try_send(());
    }

    /// Updates the gauges whose values come from the node, the router and the configuration. Called
    /// when metrics are collected.
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
        let stats = self.node.stats();
        let routing = self.router.stats();
        let gauge = |gauge: &IntGauge, value: u64| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        gauge(&self.metrics.config_version, self.config.load().version);
        gauge(&self.metrics.queued_requests, routing.queued);
        gauge(&self.metrics.usable_targets, routing.usable);
        gauge(&self.metrics.unbilled_requests, stats.unbilled as u64);
        gauge(&self.metrics.mirror_backlog, stats.backlog as u64);
        gauge(&self.metrics.watched_incarnations, stats.watched as u64);
        self.metrics.mode.reset();
        let mode = format!("{:?}", stats.mode).to_lowercase();
        self.metrics.mode.with_label_values(&[&mode]).set(1);
    }
}
