//! Child processes that tests pause, kill and end.

use std::{
    collections::BTreeMap,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        ChildStdin,
        Command,
        ExitStatus,
        Stdio, //
    },
    thread,
};

/// A child process that has printed its ready lines. Dropping it kills the child.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addrs: BTreeMap<String, SocketAddr>,
    /// Held open; stand-ins started by [`Process::standin`] end when it closes.
    _stdin: Option<ChildStdin>,
}

/// Path of a binary of this workspace, next to the running test binary.
///
/// # Examples
///
/// ```
/// let path = cuminloom_standins::process::binary("cuminloomd");
/// assert!(path.ends_with("cuminloomd"));
/// ```
pub fn binary(name: &str) -> PathBuf {
    let exe = std::env::current_exe().unwrap_or_default();
    // Tests and benchmarks are in `deps`, one folder below the binaries.
    let folder = exe.parent().unwrap_or(Path::new("."));
    let folder = folder
        .parent()
        .filter(|_| folder.ends_with("deps"))
        .unwrap_or(folder);
    folder.join(name)
}

impl Process {
    /// Starts `program` and waits until it has printed `listening <name> <addr>` for each of
    /// `names`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or ends before it is ready.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::process::Process;
    /// let args = ["-c", "echo listening web 127.0.0.1:80; exec sleep 60"];
    /// let process = Process::spawn("/bin/sh".as_ref(), &args, &["web"]).unwrap();
    /// assert_eq!(process.addr("web").port(), 80);
    /// ```
    pub fn spawn(program: &Path, args: &[&str], names: &[&str]) -> io::Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdin = child.stdin.take();
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let mut process = Self {
            child,
            addrs: BTreeMap::new(),
            _stdin: stdin,
        };
        while names.iter().any(|name| !process.addrs.contains_key(*name)) {
            let line = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
            if let Some((name, addr)) = parse_ready(&line) {
                process.addrs.insert(name.into(), addr);
            }
        }
        // Keeps reading, so that the child never blocks on a full pipe.
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        Ok(process)
    }

    /// Starts the stand-in `name` of this workspace.
    ///
    /// # Errors
    ///
    /// As [`Process::spawn`].
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use cuminloom_standins::process::Process;
    /// let args = ["--listen", "127.0.0.1:0"];
    /// let engine = Process::standin("engine-standin", &args, &["engine", "control"]).unwrap();
    /// println!("{}", engine.addr("engine"));
    /// ```
    pub fn standin(name: &str, args: &[&str], names: &[&str]) -> io::Result<Self> {
        let args = [args, &["--exit-on-eof"]].concat();
        Self::spawn(&binary(name), &args, names)
    }

    /// Address of a listener that the ready lines named.
    ///
    /// # Panics
    ///
    /// Panics when there was no such line.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::process::Process;
    /// let args = ["-c", "echo listening a 127.0.0.1:1; exec sleep 60"];
    /// let process = Process::spawn("/bin/sh".as_ref(), &args, &["a"]).unwrap();
    /// assert!(process.addr("a").ip().is_loopback());
    /// ```
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.addrs[name]
    }

    /// Number of the process.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::process::Process;
    /// let process = Process::spawn("/bin/sleep".as_ref(), &["60"], &[]).unwrap();
    /// assert!(process.id() > 0);
    /// ```
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Pauses the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::process::Process;
    /// let process = Process::spawn("/bin/sleep".as_ref(), &["60"], &[]).unwrap();
    /// process.pause().unwrap();
    /// process.resume().unwrap();
    /// ```
    pub fn pause(&self) -> io::Result<()> {
        self.signal("-STOP")
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    ///
    /// # Examples
    ///
    /// See [`Process::pause`].
    pub fn resume(&self) -> io::Result<()> {
        self.signal("-CONT")
    }

    /// Asks the process to end (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::process::Process;
    /// let mut process = Process::spawn("/bin/sleep".as_ref(), &["60"], &[]).unwrap();
    /// process.terminate().unwrap();
    /// assert!(!process.wait().unwrap().success());
    /// ```
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("-TERM")
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::process::Process;
    /// let mut process = Process::spawn("/bin/sleep".as_ref(), &["60"], &[]).unwrap();
    /// process.kill().unwrap();
    /// ```
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::process::Process;
    /// let mut process = Process::spawn("/bin/true".as_ref(), &[], &[]).unwrap();
    /// assert!(process.wait().unwrap().success());
    /// ```
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    fn signal(&self, signal: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill {signal} {id}: {status}")))
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn parse_ready(line: &str) -> Option<(&str, SocketAddr)> {
    let (name, addr) = line.strip_prefix("listening ")?.split_once(' ')?;
    Some((name, addr.parse().ok()?))
}
