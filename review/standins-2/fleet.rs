//! Starts daemons with the command of `deploy/system.toml`, and the record of a case.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Command of the role in `deploy/system.toml`; the build command stands there too.
const DAEMON: &str = "target/release/cuminloom-platform";

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// What was sent, answered and run, in the order in which it was seen.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}", text.as_ref());
        self.lines.lock().expect("lock").push(line);
    }

    /// Writes the record to `record.txt` in the folder of the case.
    pub fn save(&self, folder: &str) {
        let text = self.lines.lock().expect("lock").join("\n") + "\n";
        fs::write(PathBuf::from(folder).join("record.txt"), text).expect("record.txt");
    }
}

/// Name and addresses of a daemon, which it keeps over restarts.
#[derive(Clone, Debug)]
pub struct Place {
    pub node: String,
    pub zone: String,
    pub ip: IpAddr,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub ports: (u16, u16),
}

/// A free port at `ip`.
fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("free port");
    listener.local_addr().expect("address").port()
}

impl Place {
    /// Chooses a loopback address for the daemon number `n`.
    pub fn choose(n: u8, zone: &str) -> Place {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = IpAddr::from([127, 2 + high % 100, low, n + 1]);
        let address = |port| SocketAddr::new(ip, port);
        // The range that is free for the daemons' own use.
        let first = loop {
            let port = free_port(ip);
            if port < 65_000 && TcpListener::bind((ip, port + 1)).is_ok() {
                break port;
            }
        };
        Place {
            node: format!("edge-{zone}-{n}"),
            zone: zone.to_owned(),
            ip,
            frontend: address(free_port(ip)),
            ready: address(free_port(ip)),
            control: address(free_port(ip)),
            ports: (first, first + 1),
        }
    }

    /// Settings as in `DEPLOY.md`, with the bounds of the site that the claim names.
    fn settings(&self, store: SocketAddr, seeds: &[Place]) -> String {
        let seeds: Vec<String> = seeds
            .iter()
            .take(3)
            .map(|p| format!("\"{}\"", p.control))
            .collect();
        format!(
            "{{\"nodeName\":\"{}\",\"role\":\"router\",\"machineClass\":\"edge\",\"serves\":[\"edge\",\"control_plane\"],\
             \"ip\":\"{}\",\"zone\":\"{}\",\"region\":\"tw-north\",\
             \"zones\":{{\"tw-north-a\":\"tw-north\",\"tw-north-b\":\"tw-north\",\"tw-north-c\":\"tw-north\"}},\
             \"listen\":{{\"frontend\":\"{}\",\"ready\":\"{}\",\"controlPlane\":\"{}\"}},\"portRange\":[{},{}],\
             \"seedNodes\":[{}],\"bootstrap\":true,\"inTolerance\":false,\
             \"limits\":{{\"cpuQuota\":0.25,\"cpuCores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDir\":null,\"discovery\":\"platform\",\"entryPoint\":\"virtual_ip\",\"heartbeatMs\":1200,\
             \"faultTolerance\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\
             \"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"downgradeSlackMs\":250,\"partitionMaxMs\":5000,\
             \"revokeFailClosed\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retryMinExtra\":54,\
             \"recoveryS\":12,\"lateMs\":120,\"retryAfterS\":10,\"settle_ms\":1500}},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"table\",\"writesPerS\":600,\"readsPerS\":2000,\"txMs\":3.0,\
             \"partitionWritesS\":300,\"rowBytes\":65536,\"crossShard\":true,\"historyS\":20,\"blobBytes\":8388608,\
             \"blobMs\":25.0,\"blobMbS\":80.0}}}}",
            self.node,
            self.ip,
            self.zone,
            self.frontend,
            self.ready,
            self.control,
            self.ports.0,
            self.ports.1,
            seeds.join(",")
        )
    }
}

/// A running daemon; it is killed when dropped.
pub struct Daemon {
    child: Child,
    pub place: Place,
    folder: PathBuf,
}

impl Daemon {
    /// Starts a daemon; its log goes to a file in `folder`.
    pub fn start(place: &Place, store: SocketAddr, seeds: &[Place], folder: &PathBuf) -> Daemon {
        let settings = folder.join(format!("{}.json", place.node));
        fs::write(&settings, place.settings(store, seeds)).expect("settings");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", place.node)))
            .expect("log file");
        let errors = log.try_clone().expect("log file");
        let mut command = Command::new(DAEMON);
        // SAFETY: prctl is async-signal-safe. The kernel ends the daemon if the case is killed itself.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .env("CUMINLOOM_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{DAEMON}: {e}")));
        Daemon {
            child,
            place: place.clone(),
            folder: folder.clone(),
        }
    }

    /// Whether the platform's readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.place.ready, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let request = b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        if stream.write_all(request).is_err() {
            return false;
        }
        let mut text = Vec::new();
        let _ = stream.read_to_end(&mut text);
        text.starts_with(b"HTTP/1.1 200")
    }

    /// Waits until the daemon is ready; the case can't run if it isn't within 15 s.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > end {
                cannot_run(&format!("{} is not ready", self.place.node));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    #[allow(dead_code)]
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM.
    #[allow(dead_code)]
    pub fn term(&self) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, 15) };
    }

    /// Whether the process has ended.
    #[allow(dead_code)]
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Lines of the daemon's log that contain `text`.
    #[allow(dead_code)]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let path = self.folder.join(format!("{}.log", self.place.node));
        let log = fs::read_to_string(path).unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Ends the case with the exit code for one that couldn't run.
pub fn cannot_run(why: &str) -> ! {
    // Unwinding ends the processes that the case has started.
    panic!("the case can't run: {why}");
}

/// A temporary folder for settings and logs.
pub fn temporary_folder(case: &str) -> PathBuf {
    let name = format!("cuminloom-review-{case}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("temporary folder");
    folder
}
