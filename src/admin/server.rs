//! Listener and routing of the administration API.

use std::{
    collections::BTreeSet,
    error::Error,
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::UNIX_EPOCH,
};

use cuminloom_edge::{
    accept::Rejection,
    catalog::Limits,
    http::RequestHead, //
};
use error_stack::{
    Report,
    ResultExt, //
};

use super::{
    fleet::Fleet,
    reply::{
        Failure,
        HandlerResult,
        Reply,
        refuse, //
    },
    request::{
        Request,
        authenticate, //
    },
};
use crate::{
    config::{
        ConfigState,
        ItemKind, //
    },
    inbound::{
        self,
        HttpService,
        Listener,
        rejection_error, //
    },
    model::{
        Code,
        DaemonId,
        TargetId, //
    },
    settings::{
        BudgetDefaults,
        Operator,
        Settings, //
    },
    store::{
        Objects,
        Table, //
    },
};

/// Requests that are handled at the same time.
const MAX_OPEN_REQUESTS: usize = 8;
/// Longest accepted body: holds a service with 1,700 targets of 616 bytes each.
const MAX_BODY_BYTES: usize = 1 << 20;

/// What the administration API needs from the settings.
#[derive(Clone, Debug)]
pub struct AdminOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Operators whose tokens are accepted.
    pub operators: Vec<Operator>,
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Longest accepted body, in bytes.
    pub max_body_bytes: usize,
    /// Sizing of a new budget whose request names none.
    pub budget_defaults: BudgetDefaults,
    /// Clock in seconds since the Unix epoch; stamps the edits in the history.
    pub unix_time_s: fn() -> u64,
}

impl AdminOptions {
    /// Reads the options from the settings of a daemon.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{admin::AdminOptions, settings::Settings};
    /// let options = AdminOptions::from_settings(&Settings::load("examples/anod.jsonc").unwrap());
    /// assert_eq!(options.operators.len(), 2);
    /// assert!((options.unix_time_s)() > 0);
    /// ```
    pub fn from_settings(settings: &Settings) -> Self {
        Self {
            listen: settings.admin.listen,
            operators: settings.admin.operators.clone(),
            daemon: settings.daemon.id.clone(),
            max_body_bytes: MAX_BODY_BYTES,
            budget_defaults: settings.budget,
            // A clock before the epoch gives 0: the time is only displayed.
            unix_time_s: || UNIX_EPOCH.elapsed().map_or(0, |time| time.as_secs()),
        }
    }
}

/// The listener could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BindError;

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot open the listener of the administration API")
    }
}

impl Error for BindError {}

/// State that all request handlers share.
pub(super) struct Shared<S, F> {
    pub(super) options: AdminOptions,
    pub(super) store: S,
    pub(super) fleet: F,
    pub(super) config: Arc<Mutex<ConfigState>>,
    /// Targets to which an order is being sent.
    pub(super) busy_targets: Mutex<BTreeSet<TargetId>>,
}

/// The running administration API; it stops when it is dropped.
pub struct AdminServer {
    listener: Listener,
}

impl fmt::Debug for AdminServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminServer")
            .field("addr", &self.addr())
            .finish()
    }
}

/// Opens the listener and serves operators in the background. Accepted edits are applied to
/// `config`.
///
/// # Errors
///
/// Fails with [`BindError`] when the address cannot be listened on.
///
/// # Examples
///
/// ```
/// # use std::{collections::BTreeMap, sync::Arc};
/// # use cuminloom::{budget::BilledTokens, model::*, store::{HttpStore, StoreError}};
/// use cuminloom::admin::{self, PeerStatus, Fleet, AdminOptions, DaemonStatus};
///
/// struct Alone;
///
/// impl Fleet for Alone {
///     fn peers(&self) -> Vec<PeerStatus> { Vec::new() }
///     fn status(&self) -> DaemonStatus { DaemonStatus::default() }
///     fn announce(&self, _version: Version) {}
///     fn billed_tokens(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError> { Ok(BTreeMap::new()) }
/// }
///
/// let options = AdminOptions {
///     listen: "127.0.0.1:0".parse().unwrap(),
///     operators: Vec::new(),
///     daemon: "vm-1".into(),
///     max_body_bytes: 1 << 20,
///     budget_defaults: cuminloom::settings::BudgetDefaults::default(),
///     unix_time_s: || 0,
/// };
/// let store = HttpStore::new("127.0.0.1:1".parse().unwrap());
/// let admin = admin::bind(options, store, Alone, Arc::default()).unwrap();
/// let url = format!("http://{}/admin/v1/status", admin.addr());
/// assert_eq!(minreq::get(url).send().unwrap().status_code, 401);
/// ```
pub fn bind<S, F>(
    options: AdminOptions,
    store: S,
    fleet: F,
    config: Arc<Mutex<ConfigState>>,
) -> Result<AdminServer, Report<BindError>>
where
    S: Table + Objects + Send + Sync + 'static,
    F: Fleet,
{
    let addr = options.listen;
    let shared = Arc::new(Shared {
        options,
        store,
        fleet,
        config,
        busy_targets: Mutex::default(),
    });
    let listener = Listener::bind(shared, addr)
        .change_context(BindError)
        .attach_with(|| addr.to_string())?;
    Ok(AdminServer { listener })
}

impl AdminServer {
    /// Address of the listener; port 0 in the settings is replaced by the port that was chosen.
    ///
    /// # Examples
    ///
    /// See [`bind`].
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }
}

impl<S, F> HttpService for Shared<S, F>
where
    S: Table + Objects + Send + Sync + 'static,
    F: Fleet,
{
    const NAME: &'static str = "admin";
    const MAX_OPEN: usize = MAX_OPEN_REQUESTS;
    const STACK_BYTES: usize = 2 << 20;

    fn limits(&self) -> Limits {
        Limits {
            body_bytes: self.options.max_body_bytes,
            ..Limits::default()
        }
    }

    /// Refuses a request without a known token before its body is read into memory.
    fn check_head(&self, head: &RequestHead) -> Result<(), inbound::Reply> {
        let known = authenticate(&head.fields, &self.options.operators);
        known
            .map(drop)
            .map_err(|failure| Reply::from(failure).into())
    }

    fn reject(&self, rejection: Rejection) -> inbound::Reply {
        Reply {
            status: rejection.status,
            ..Reply::from(Failure::from(rejection_error(rejection)))
        }
        .into()
    }

    fn serve(&self, http: inbound::Request) {
        let request = Request::from_http(&http, &self.options.operators);
        let result = request.and_then(|request| self.route(&request));
        let reply = result.unwrap_or_else(Reply::from);
        if let Err(err) = http.respond(&reply.into()) {
            log::debug!("cannot send the reply to an operator: {err}");
        }
    }
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    /// Passes a request to the handler of its method and path.
    fn route(&self, request: &Request) -> HandlerResult {
        let path: Vec<&str> = request.path.iter().map(String::as_str).collect();
        match (&*request.method, path.as_slice()) {
            ("GET", ["config"]) => self.show_config(),
            ("GET", ["config", "history"]) => self.show_history(request),
            ("GET", ["config", "wait"]) => self.config_wait(request),
            ("GET", ["status"]) => self.show_status(),
            ("GET", ["audit"]) => self.audit(),
            ("GET", ["budgets"]) => self.list_budgets(request),
            ("GET", ["budgets", id]) => self.show_budget(id),
            ("PUT", ["budgets", id]) => self.create_budget(request, id),
            ("POST", ["budgets", id, action]) => self.change_budget(request, id, action),
            ("POST", ["orders", target]) => self.order_target(request, target),
            ("GET", [kind]) => self.list_items(&parse_kind(kind)?),
            (_, [kind, name]) => self.handle_item(request, parse_kind(kind)?, name),
            (method, _) => {
                let detail = format!("no such operation: {method} {}", request.path.join("/"));
                Err(refuse(Code::NotFound, detail))
            }
        }
    }
}

/// Item kind of a path segment, for example `customers`.
fn parse_kind(text: &str) -> Result<ItemKind, Failure> {
    let mut kinds = ItemKind::ALL.into_iter();
    kinds
        .find(|kind| kind.plural() == text)
        .ok_or_else(|| refuse(Code::NotFound, format!("no such path: {text:?}")))
}
