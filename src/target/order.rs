//! Orders to engines: load a model or an adapter, or change the role.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc, //
};

use crate::wire::target as wire;

/// Timeout of an order.
const TIMEOUT_S: u64 = 10;

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load the model of this name.
    LoadModel(Arc<str>),
    /// Load the adapter of this name.
    LoadAdapter(Arc<str>),
    /// Change to the role of this name.
    ChangeRole(Arc<str>),
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Done,
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine rejected the order or was not reached; it did not execute it.
    Refused,
    /// The answer was lost; the engine may have executed the order or may do so later.
    Uncertain,
}

/// Sends an order with its fencing number. An engine that checks the number rejects an order with a
/// lower number than one it has seen; other engines may execute orders out of sequence.
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
