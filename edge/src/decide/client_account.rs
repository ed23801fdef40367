//! Which clients a process keeps when their connections or bytes exceed what it may hold.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

/// Number of a connection, unique in its account.
pub type ClientId = u64;

/// Divisor of the memory limit for the bytes of all callers. Buffers that grow are briefly held twice, and the
/// process needs about 32 MB for control.
const MEMORY_DIVISOR: u64 = 4;

/// Divisor of the memory limit for the bytes of all responses that wait for their callers.
const ANSWER_DIVISOR: u64 = 8;

/// Share of the descriptors for callers, in 32nds. Each open request also needs a descriptor for its runner.
const CALLER_SHARE: u64 = 12;

/// Share of the descriptors for other daemons, in 32nds. Must admit 340 daemons at 3,075 descriptors.
const PEER_SHARE: u64 = 4;

/// Share of the descriptors for each of the ports for readiness checks and metrics, in 32nds.
const READY_SHARE: u64 = 1;

/// Fewest connections of each port.
const MIN_CONNECTIONS: u64 = 4;

/// Bytes up to which a client counts as small. A quarter of the account is reserved for small clients, so
/// that large bodies never keep ordinary requests out.
const SMALL_BYTES: u64 = 64 * 1024;

/// Time without a byte after which a client may be dropped to free memory. Clients on slow links pause for
/// less than this between two segments.
const MIN_STALL: Duration = Duration::from_millis(250);

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Default for ProcessLimits {
    /// The limits of the smallest VM.
    fn default() -> ProcessLimits {
        ProcessLimits {
            memory_bytes: 120 << 20,
            descriptors: 3075,
        }
    }
}

/// Most connections and bytes of the clients of one port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBounds {
    /// Open connections.
    pub connections: u64,
    /// Bytes that requests hold.
    pub bytes: u64,
}

impl ProcessLimits {
    /// Bounds of the callers' port.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_edge::decide::ProcessLimits;
    ///
    /// let bounds = ProcessLimits::default().callers();
    /// assert_eq!(bounds.connections, 1153);
    /// assert_eq!(bounds.bytes, 30 << 20);
    /// ```
    pub fn callers(&self) -> ClientBounds {
        self.bounds(CALLER_SHARE)
    }

    /// Bounds of the port for other daemons.
    pub fn peers(&self) -> ClientBounds {
        self.bounds(PEER_SHARE)
    }

    /// Bounds of a port for readiness checks or metrics.
    pub fn ready(&self) -> ClientBounds {
        self.bounds(READY_SHARE)
    }

    /// Bounds of the responses that wait for their callers. Their connections are bounded as the callers' ones.
    pub fn answers(&self) -> ClientBounds {
        ClientBounds {
            connections: u64::MAX,
            bytes: self.memory_bytes / ANSWER_DIVISOR,
        }
    }

    fn bounds(&self, share: u64) -> ClientBounds {
        ClientBounds {
            connections: (self.descriptors.saturating_mul(share) / 32).max(MIN_CONNECTIONS),
            bytes: self.memory_bytes / MEMORY_DIVISOR,
        }
    }
}

/// What a client is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No request has begun, or the connection is about to close.
    Idle,
    /// A request is being received.
    Reading,
    /// A request may run. Such a client is never dropped.
    Handling,
}

/// Outcome of a claim for a connection or for bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Whether there is room. If not, the claiming client is to be refused.
    pub granted: bool,
    /// Clients that must be dropped at once; they have left the account.
    pub dropped: Vec<ClientId>,
}

impl Claim {
    fn granted(dropped: Vec<ClientId>) -> Claim {
        Claim {
            granted: true,
            dropped,
        }
    }
}

#[derive(Debug)]
struct Client {
    bytes: u64,
    stage: Stage,
    progress_at: Instant,
}

/// Connections and bytes of the clients of one port. Dropped clients leave the account at once.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cuminloom_edge::decide::{ClientAccount, ClientBounds};
///
/// let now = Instant::now();
/// let mut account = ClientAccount::new(ClientBounds { connections: 1, bytes: 1 << 20 });
/// assert!(account.open(1, now).granted);
/// assert_eq!(account.open(2, now).dropped, [1]);
/// ```
#[derive(Debug)]
pub struct ClientAccount {
    bounds: ClientBounds,
    clients: HashMap<ClientId, Client>,
    bytes: u64,
}

impl ClientAccount {
    /// Creates an account without clients.
    pub fn new(bounds: ClientBounds) -> ClientAccount {
        ClientAccount {
            bounds,
            clients: HashMap::new(),
            bytes: 0,
        }
    }

    /// Bytes that all clients hold.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Number of clients.
    pub fn connections(&self) -> usize {
        self.clients.len()
    }

    /// Whether there are as many connections as allowed.
    pub fn is_full(&self) -> bool {
        self.clients.len() as u64 >= self.bounds.connections
    }

    /// Adds a connection. If there are too many, the one that has been quiet for longest and runs no request is
    /// dropped.
    pub fn open(&mut self, id: ClientId, now: Instant) -> Claim {
        let mut dropped = Vec::new();
        if self.is_full() {
            let open = self
                .clients
                .iter()
                .filter(|(_, c)| c.stage != Stage::Handling);
            let Some(quiet) = open.min_by_key(|(_, c)| c.progress_at).map(|(id, _)| *id) else {
                return Claim::default();
            };
            self.close(quiet);
            dropped.push(quiet);
        }
        let client = Client {
            bytes: 0,
            stage: Stage::Idle,
            progress_at: now,
        };
        self.clients.insert(id, client);
        Claim::granted(dropped)
    }

    /// Removes a connection with its bytes.
    pub fn close(&mut self, id: ClientId) {
        if let Some(client) = self.clients.remove(&id) {
            self.bytes -= client.bytes;
        }
    }

    /// Records what a client does.
    pub fn set_stage(&mut self, id: ClientId, stage: Stage, now: Instant) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.stage = stage;
            client.progress_at = now;
        }
    }

    /// Records that a client, from which bytes have arrived, now holds `bytes`. If that is too much for all of
    /// them, those that have stalled for longest are dropped. A client that alone holds bytes is never refused.
    pub fn hold(&mut self, id: ClientId, bytes: u64, now: Instant) -> Claim {
        let Some(client) = self.clients.get_mut(&id) else {
            return Claim::default();
        };
        client.progress_at = now;
        let held = std::mem::replace(&mut client.bytes, bytes);
        self.bytes = self.bytes - held + bytes;
        let limit = self.limit_for(bytes);
        if bytes <= held || self.bytes <= limit || self.bytes == bytes {
            return Claim::granted(Vec::new());
        }
        let dropped = self.drop_stalled(id, limit, now);
        let granted = self.bytes <= limit || self.bytes == bytes;
        if !granted {
            self.set_bytes(id, held);
        }
        Claim { granted, dropped }
    }

    /// Most bytes of all clients after a claim of a client that then holds `bytes`.
    fn limit_for(&self, bytes: u64) -> u64 {
        if bytes <= SMALL_BYTES {
            return self.bounds.bytes;
        }
        self.bounds.bytes / 4 * 3
    }

    fn set_bytes(&mut self, id: ClientId, bytes: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            self.bytes = self.bytes - client.bytes + bytes;
            client.bytes = bytes;
        }
    }

    /// Drops clients other than `id` that have stalled while their request is received, the longest stalled
    /// first, until all hold at most `limit` bytes.
    fn drop_stalled(&mut self, id: ClientId, limit: u64, now: Instant) -> Vec<ClientId> {
        let stalled = |c: &Client| {
            let quiet = now.saturating_duration_since(c.progress_at);
            c.stage == Stage::Reading && c.bytes > 0 && quiet >= MIN_STALL
        };
        let mut found: Vec<(Instant, ClientId)> = self
            .clients
            .iter()
            .filter(|(other, c)| **other != id && stalled(c))
            .map(|(other, c)| (c.progress_at, *other))
            .collect();
        found.sort_unstable();
        let mut dropped = Vec::new();
        for (_, other) in found {
            if self.bytes <= limit {
                break;
            }
            self.close(other);
            dropped.push(other);
        }
        dropped
    }
}
