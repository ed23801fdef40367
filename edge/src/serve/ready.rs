//! HTTP endpoint for readiness checks of the load balancer and for metrics.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::BytesMut;
use tokio::{
    net::TcpStream,
    task::{
        spawn_local,
        yield_now, //
    },
    time::timeout, //
};

use super::Core;
use crate::{
    accept::{
        Client,
        Clients,
        accept_clients,
        listen, //
    },
    decide::Stage,
    http::{
        RequestHead,
        parse_request,
        read_some,
        reason_phrase,
        write_all, //
    }, //
};

/// Idle time after which a connection of the load balancer or a metrics scraper is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Starts a task that serves `GET /readyz` and `GET /metrics` at `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind_ready<D: 'static>(
    core: &Rc<Core<D>>,
    address: SocketAddr,
    clients: &Rc<Clients>,
) -> io::Result<()> {
    let listener = listen(address)?;
    let core = Rc::clone(core);
    let serve = move |stream, client: Client| {
        let core = Rc::clone(&core);
        spawn_local(async move {
            tokio::select! {
                biased;
                () = client.dropped() => {}
                () = serve_connection(core, stream, &client) => {}
            }
        });
    };
    // Without a response the load balancer asks again, as after a lost connection.
    spawn_local(accept_clients(listener, Rc::clone(clients), serve, |_| {}));
    Ok(())
}

/// Serves requests on one connection until it closes or stays idle too long.
async fn serve_connection<D>(core: Rc<Core<D>>, stream: TcpStream, client: &Client) {
    let mut buf = BytesMut::new();
    loop {
        let head = match parse_request(&mut buf) {
            Ok(Some(head)) => head,
            Ok(None) if buf.len() > MAX_HEAD_BYTES => return,
            Ok(None) => match timeout(IDLE_TIMEOUT, read_some(&stream, &mut buf)).await {
                Ok(Ok(n)) if n > 0 => continue,
                _ => return,
            },
            Err(_) => return,
        };
        client.set_stage(Stage::Idle);
        let keep_alive = head.keep_alive();
        let bytes = response_bytes(&core, &head, keep_alive);
        if write_all(&stream, &bytes).await.is_err() || !keep_alive {
            return;
        }
        if !buf.is_empty() {
            // Pipelined requests take turns with other connections.
            yield_now().await;
        }
    }
}

/// Encodes the response to a readiness or metrics request.
fn response_bytes<D>(core: &Core<D>, head: &RequestHead, keep_alive: bool) -> Vec<u8> {
    let (status, body) = match head.path() {
        "/metrics" => (200, core.metrics.text()),
        "/readyz" if core.is_ready() => (200, b"ready\n".to_vec()),
        "/readyz" => (503, b"not ready\n".to_vec()),
        _ => (404, b"not found\n".to_vec()),
    };
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    let mut out = format!(
        "HTTP/1.1 {status} {}\r\n{close}Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
        reason_phrase(status),
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(&body);
    out
}
