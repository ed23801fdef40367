//! Orders to engines: load a model or adapter, or change role.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc, //
};

use crate::wire::target as wire;

/// Deadline of an order, in seconds.
const TIMEOUT_S: u64 = 10;

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load this model.
    LoadModel(Arc<str>),
    /// Load this adapter.
    LoadAdapter(Arc<str>),
    /// Take this role.
    ChangeRole(Arc<str>),
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took the order.
    Done,
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine refused the order or was not reached; it has not obeyed.
    Refused,
    /// The answer was lost; the engine may have obeyed or may still obey.
    Uncertain,
}

/// Sends an order with its fencing number. An engine that checks the number refuses one that is
/// lower than a number it has seen; another engine may obey orders in any sequence.
///
/// # Examples
///
/// ```
/// use cuminloom::target::{OrderOutcome, Order, send_order};
/// let addr = "127.0.0.1:1".parse().unwrap();
/// assert_eq!(send_order(addr, &Order::LoadModel("small".into()), 1), OrderOutcome::Refused);
/// ```
pub fn send_order(addr: SocketAddr, order: &Order, fencing: u64) -> OrderOutcome {
    let (order, argument) = match order {
        Order::LoadModel(name) => (wire::OrderOrder::LoadModel, name),
        Order::LoadAdapter(name) => (wire::OrderOrder::LoadAdapter, name),
        Order::ChangeRole(name) => (wire::OrderOrder::ChangeRole, name),
    };
    let body = wire::Order {
        order,
        argument: argument.to_string(),
        fencing,
    };
    let reply = minreq::post(format!("http://{addr}/orders"))
        .with_header("Content-Type", "application/json")
        .with_body(serde_json::to_vec(&body).expect("wire types have string keys"))
        .with_timeout(TIMEOUT_S)
        .with_follow_redirects(false)
        .send();
    match reply {
        Ok(reply) => match reply.status_code {
            200..=299 => OrderOutcome::Done,
            409 | 412 => OrderOutcome::Stale,
            400..=499 => OrderOutcome::Refused,
            _ => OrderOutcome::Uncertain,
        },
        Err(minreq::Error::IoError(io)) if io.kind() == ErrorKind::ConnectionRefused => {
            OrderOutcome::Refused
        }
        Err(_) => OrderOutcome::Uncertain,
    }
}
