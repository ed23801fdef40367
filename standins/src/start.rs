//! Starts the processes of a deployment.

use std::{
    fs::OpenOptions,
    io,
    net::SocketAddr,
    path::Path,
    process::Stdio, //
};

use serde_json::Value;

use crate::{
    fleet::Plan,
    process::{
        Process,
        binary, //
    },
};

pub(crate) fn start_platform(plan: &Plan) -> io::Result<Process> {
    let listen: Vec<String> = plan
        .dcs
        .iter()
        .map(|(dc, _)| format!("{dc}=127.0.0.1:0"))
        .collect();
    let mut args = Vec::new();
    for address in &listen {
        args.extend(["--listen", address]);
    }
    let names: Vec<&str> = plan
        .dcs
        .iter()
        .map(|(dc, _)| *dc)
        .chain(["control"])
        .collect();
    Process::standin("platform-standin", &args, &names)
}

pub(crate) fn start_engines(plan: &Plan) -> io::Result<Vec<Process>> {
    let start = |_| Process::standin("engine-standin", &plan.engine, &["engine", "control"]);
    (0..plan.dcs.len() * plan.engines).map(start).collect()
}

pub(crate) fn start_daemon(settings: &Path, log: Option<&Path>) -> io::Result<Process> {
    let path = settings.to_str().ok_or(io::ErrorKind::InvalidInput)?;
    let errors = match log {
        Some(log) => OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?
            .into(),
        None => Stdio::inherit(),
    };
    Process::spawn_with(&binary("cuminloomd"), &["--settings", path], &[], errors)
}

pub(crate) fn is_ready(addr: SocketAddr) -> bool {
    let reply = minreq::get(format!("http://{addr}/readyz"))
        .with_timeout(1)
        .send();
    reply.is_ok_and(|reply| reply.status_code == 200)
}

pub(crate) fn post(addr: SocketAddr, body: &Value) -> io::Result<()> {
    let url = format!("http://{addr}/control");
    let reply = minreq::post(url)
        .with_body(body.to_string())
        .with_timeout(5)
        .send();
    match reply.map_err(io::Error::other)?.status_code {
        200 => Ok(()),
        status => Err(io::Error::other(format!(
            "the control port answered {status}"
        ))),
    }
}
