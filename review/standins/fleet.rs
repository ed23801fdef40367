//! The project's daemons as processes, and the platform's balancer in front of them.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    store::{Endpoint, Store},
};

/// Ports of each daemon, on an address of its own.
const CALLERS: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;
const FIRST_FREE: u16 = 7340;

struct Daemon {
    name: String,
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Its address of the store.
    endpoint: Endpoint,
    child: Option<Child>,
    /// Readiness checks in a row that failed, as the balancer counts them.
    misses: u32,
}

/// All daemons.
pub struct Fleet {
    program: Vec<String>,
    folder: PathBuf,
    daemons: Mutex<Vec<Daemon>>,
    record: Arc<Record>,
}

/// The command of the role that serves callers, from the deploy file.
fn deployed_command() -> Option<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find(|l| l.trim_start().starts_with("run"))?;
    let command = line.split('"').nth(1)?;
    Some(command.split(' ').map(str::to_owned).collect())
}

/// Loopback addresses that belong to this process alone; `group` is a number below 100.
fn addresses(group: u8, count: usize) -> Vec<IpAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let second = 1 + (u16::from(high) * 17 + u16::from(group)) % 126;
    let ip = |n| Ipv4Addr::new(127, second as u8, low, n).into();
    (1..=count as u8).map(ip).collect()
}

impl Fleet {
    /// Starts a daemon in each of `zones`, with an address of the store of its own, and waits until all are
    /// ready; fails if the case can't run here.
    pub fn start(
        zones: &[&str],
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Result<Arc<Fleet>, String> {
        let endpoints = zones.iter().map(|_| store.open()).collect();
        let fleet = Fleet::spawn("edge", 0, zones, endpoints, record)?;
        let balancer = Arc::clone(&fleet);
        thread::spawn(move || balancer.check_readiness());
        let end = Instant::now() + Duration::from_secs(15);
        while fleet.in_rotation().len() < zones.len() {
            if Instant::now() > end {
                fleet.stop();
                return Err("the daemons are not ready in time".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(fleet)
    }

    /// Starts a daemon in each of `zones`, which uses the address of the store at the same place in `endpoints`.
    /// Fleets with different `group`s have different addresses.
    pub fn spawn(
        prefix: &str,
        group: u8,
        zones: &[&str],
        endpoints: Vec<Endpoint>,
        record: &Arc<Record>,
    ) -> Result<Arc<Fleet>, String> {
        let program = deployed_command().ok_or("no command in deploy/system.toml")?;
        if !Path::new(&program[0]).exists() {
            return Err(format!("{} is not built", program[0]));
        }
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("cuminloom-review-{process}-{prefix}"));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let ips = addresses(group, zones.len());
        let seeds: Vec<String> = addresses(0, 3)
            .iter()
            .map(|ip| format!("\"{}\"", SocketAddr::new(*ip, CONTROL)))
            .collect();
        let mut names: Vec<&str> = zones.to_vec();
        names.dedup();
        let places: Vec<String> = names.iter().map(|z| format!("\"{z}\":\"r-1\"")).collect();
        let mut daemons = Vec::new();
        for (i, ((ip, zone), endpoint)) in ips.iter().zip(zones).zip(endpoints).enumerate() {
            for port in [CALLERS, READY, CONTROL, FIRST_FREE, FIRST_FREE + 1] {
                TcpListener::bind((*ip, port)).map_err(|e| format!("{ip}:{port}: {e}"))?;
            }
            let name = format!("{prefix}-{}", i + 1);
            let settings = folder.join(format!("{name}.json"));
            let text = format!(
                "{{\"nodeName\":\"{name}\",\"role\":\"router\",\"machineClass\":\"edge\",\
                 \"serves\":[\"edge\",\"control_plane\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"r-1\",\
                 \"zones\":{{{}}},\"listen\":{{\"frontend\":\"{ip}:{CALLERS}\",\"ready\":\"{ip}:{READY}\",\
                 \"controlPlane\":\"{ip}:{CONTROL}\"}},\"portRange\":[{FIRST_FREE},{}],\"seedNodes\":[{}],\
                 \"bootstrap\":true,\"inTolerance\":false,\"limits\":{{\"cpuQuota\":0.25,\"cpuCores\":1,\
                 \"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\
                 \"discovery\":\"platform\",\"entryPoint\":\"virtual_ip\",\"heartbeatMs\":1200,\
                 \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\
                 \"tenants\",\"platform\"],\"faultTolerance\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\
                 \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\
                 \"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\
                 \"downgradeSlackMs\":250,\"partitionMaxMs\":5000,\"revokeFailClosed\":false,\"revokeMs\":5000,\
                 \"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retryMinExtra\":54,\"recoveryS\":12,\
                 \"lateMs\":120,\"retryAfterS\":10,\"settle_ms\":1500}},\
                 \"platform\":{{\"address\":\"{}\",\"form\":\"table\",\"writesPerS\":600,\"readsPerS\":2000,\
                 \"txMs\":3.0,\"partitionWritesS\":300,\"rowBytes\":65536,\"crossShard\":true,\"historyS\":20,\
                 \"blobBytes\":8388608,\"blobMs\":25.0,\"blobMbS\":80.0}}}}",
                places.join(","),
                FIRST_FREE + 15,
                seeds.join(","),
                endpoint.address
            );
            fs::write(&settings, text).map_err(|e| e.to_string())?;
            let log = folder.join(format!("{name}.log"));
            daemons.push(Daemon {
                name,
                ip: *ip,
                settings,
                log,
                endpoint,
                child: None,
                misses: 2,
            });
        }
        let fleet = Arc::new(Fleet {
            program,
            folder,
            daemons: Mutex::new(daemons),
            record: Arc::clone(record),
        });
        for i in 0..zones.len() {
            fleet.start_daemon(i);
        }
        Ok(fleet)
    }

    /// Starts the process of daemon `i`.
    pub fn start_daemon(&self, i: usize) {
        let mut daemons = self.daemons.lock().unwrap();
        let daemon = &mut daemons[i];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&daemon.log)
            .expect("a log file");
        let mut command = Command::new(&self.program[0]);
        command.args(&self.program[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let copy = log.try_clone().expect("a log file");
        let child = command
            .env("CUMINLOOM_SETTINGS", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .expect("the daemon starts");
        self.record.line(format!(
            "daemon {} started, pid {}",
            daemon.name,
            child.id()
        ));
        self.record.flush();
        daemon.child = Some(child);
    }

    /// Kills the process of daemon `i` with SIGKILL.
    pub fn kill(&self, i: usize) {
        let mut daemons = self.daemons.lock().unwrap();
        let daemon = &mut daemons[i];
        if let Some(mut child) = daemon.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("daemon {} killed", daemon.name));
        }
    }

    /// Writes the settings file of daemon `i` with other `seedNodes`, and sends the process SIGHUP.
    pub fn change_seeds(&self, i: usize, seeds: &[SocketAddr]) {
        let daemons = self.daemons.lock().unwrap();
        let daemon = &daemons[i];
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = fs::read_to_string(&daemon.settings).expect("the settings");
        let (before, rest) = text.split_once("\"seedNodes\":[").expect("seeds");
        let (_, after) = rest.split_once(']').expect("seeds");
        let text = format!("{before}\"seedNodes\":[{}]{after}", seeds.join(","));
        let new = daemon.settings.with_extension("new");
        fs::write(&new, text).expect("the settings");
        fs::rename(&new, &daemon.settings).expect("the settings");
        if let Some(child) = &daemon.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-HUP", &pid]).status();
            self.record
                .line(format!("daemon {} has new seedNodes, SIGHUP", daemon.name));
        }
    }

    /// Address for other daemons of daemon `i`.
    pub fn control(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.daemons.lock().unwrap()[i].ip, CONTROL)
    }

    /// Address of the store that daemon `i` uses.
    pub fn endpoint(&self, i: usize) -> Endpoint {
        self.daemons.lock().unwrap()[i].endpoint.clone()
    }

    /// Name of daemon `i`.
    pub fn name(&self, i: usize) -> String {
        self.daemons.lock().unwrap()[i].name.clone()
    }

    /// Number of daemons.
    pub fn len(&self) -> usize {
        self.daemons.lock().unwrap().len()
    }

    /// Whether a daemon's process has ended by itself.
    pub fn any_ended(&self) -> bool {
        let mut daemons = self.daemons.lock().unwrap();
        let ended =
            |d: &mut Daemon| matches!(d.child.as_mut().map(Child::try_wait), Some(Ok(Some(_))));
        daemons.iter_mut().any(ended)
    }

    /// Ends all processes.
    pub fn stop(&self) {
        for i in 0..self.len() {
            self.kill(i);
        }
    }

    /// Lines of the daemons' logs that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for daemon in self.daemons.lock().unwrap().iter() {
            let log = fs::read(&daemon.log).unwrap_or_default();
            let log = String::from_utf8_lossy(&log).into_owned();
            let found = log.lines().filter(|l| l.contains(text));
            lines.extend(found.map(|l| format!("{}: {l}", daemon.name)));
        }
        lines
    }

    /// Addresses that get new connections: two misses in a row take a daemon out, and a 200 brings it back. If
    /// none is left, all get some.
    pub fn in_rotation(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.lock().unwrap();
        let ready = daemons.iter().filter(|d| d.misses < 2);
        ready.map(|d| SocketAddr::new(d.ip, CALLERS)).collect()
    }

    /// Addresses of all daemons.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.lock().unwrap();
        let all = daemons.iter();
        all.map(|d| SocketAddr::new(d.ip, CALLERS)).collect()
    }

    /// Asks each daemon once a second whether it is ready, as the platform does.
    fn check_readiness(&self) {
        loop {
            let ips: Vec<IpAddr> = self.daemons.lock().unwrap().iter().map(|d| d.ip).collect();
            for (i, ip) in ips.iter().enumerate() {
                let ready = is_ready(SocketAddr::new(*ip, READY));
                let misses = &mut self.daemons.lock().unwrap()[i].misses;
                *misses = if ready { 0 } else { *misses + 1 };
            }
            thread::sleep(Duration::from_secs(1));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Removes what the case has written to its temporary folder.
pub fn clean_up(fleet: &Fleet) {
    fleet.stop();
    let _ = fs::remove_dir_all(&fleet.folder);
}

/// Whether the answer to the readiness check is 200.
fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        let limit = Some(Duration::from_millis(500));
        stream.set_read_timeout(limit).ok()?;
        stream
            .write_all(b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(text)
    };
    ask().is_some_and(|text| text.starts_with("HTTP/1.1 200"))
}
