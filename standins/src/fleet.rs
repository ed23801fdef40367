//! A whole deployment in separate processes on loopback: the platform, engines, a plain service and
//! daemons in several data centres.
//!
//! Every daemon has a loopback address of its own, as a VM has, so that fixed ports never collide
//! between tests that run at the same time.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    sync::{
        Mutex,
        atomic::{
            AtomicU8,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::{
    budget,
    config::{
        self,
        ConfigState,
        EditRequest, //
    },
    store::{
        self,
        HttpStore,
        Precondition,
        Table,
        Write, //
    },
    wire::item::Item,
};
use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    plan::items,
    process::Process,
    start::{
        is_ready,
        post,
        start_daemon,
        start_engines,
        start_platform, //
    },
};

pub use crate::plan::Plan;

/// Ports of every daemon.
const CALLER_PORT: u16 = 8080;
const ADMIN_PORT: u16 = 8090;
const PEER_PORT: u16 = 8070;

/// Key that the customer of the deployment presents.
pub const KEY: &str = "anod-key";
/// Token of the operator of the deployment.
pub const TOKEN: &str = "board-token";

/// Longest wait for a daemon to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Deployments started by this process.
static FLEETS: AtomicU8 = AtomicU8::new(0);

/// One daemon of the deployment.
#[derive(Debug)]
pub struct Member {
    /// Name of the daemon.
    pub id: String,
    /// Data centre of the daemon.
    pub dc: &'static str,
    /// Its process; `None` after it was killed.
    pub process: Option<Process>,
    /// Where callers send requests.
    pub caller: SocketAddr,
    /// Where operators send requests.
    pub admin: SocketAddr,
    /// File that holds the daemon's log when the plan says so.
    pub log: PathBuf,
    settings: PathBuf,
}

/// A running deployment. Dropping it ends all its processes.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Process,
    /// The engines, in the order of their data centres.
    pub engines: Vec<Process>,
    /// The plain service.
    pub service: Process,
    /// The daemons.
    pub members: Vec<Member>,
    /// Links between daemons of different data centres pass through it; `None` with one data centre.
    relay: Option<Process>,
    plan: Plan,
    net: u8,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts everything, writes the configuration and the budget, and waits until every daemon is
    /// ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or a daemon does not become ready.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use cuminloom_standins::fleet::{Fleet, Plan};
    /// let fleet = Fleet::start(Plan::default()).unwrap();
    /// println!("{}", fleet.members[0].caller);
    /// ```
    pub fn start(plan: Plan) -> io::Result<Self> {
        let net = FLEETS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("cuminloom-{}-{net}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("secret"), "fleet secret of the tests")?;
        let mut fleet = Self {
            platform: start_platform(&plan)?,
            engines: start_engines(&plan)?,
            service: Process::standin(
                "service-standin",
                &["--listen", "127.0.0.1:0"],
                &["service", "control"],
            )?,
            members: Vec::new(),
            relay: None,
            plan,
            net,
            folder,
        };
        fleet.seed()?;
        fleet.start_relay()?;
        fleet.start_members()?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Client of the platform as an observer in the first data centre sees it.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn show(fleet: &cuminloom_standins::fleet::Fleet) {
    /// use cuminloom::store::Table;
    /// println!("{:?}", fleet.store().read("budget/lamps"));
    /// # }
    /// ```
    pub fn store(&self) -> HttpStore {
        HttpStore::new(self.platform.addr(self.plan.dcs[0].0))
    }

    /// The budget row as the platform has it.
    ///
    /// # Panics
    ///
    /// Panics when the platform does not answer.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn show(fleet: &cuminloom_standins::fleet::Fleet) {
    /// println!("{:?}", fleet.budget().breakdown());
    /// # }
    /// ```
    pub fn budget(&self) -> budget::Row {
        self.budget_row("lamps")
    }

    /// The row of the budget `name` as the platform has it.
    ///
    /// # Panics
    ///
    /// Panics when the platform does not answer or has no such budget.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn show(fleet: &cuminloom_standins::fleet::Fleet) {
    /// println!("{:?}", fleet.budget_row("lamps").breakdown());
    /// # }
    /// ```
    pub fn budget_row(&self, name: &str) -> budget::Row {
        let row = self
            .store()
            .read(&format!("budget/{name}"))
            .expect("the platform answers");
        let row = row.expect("the budget exists");
        budget::Row::try_from(row.value).expect("the row is a budget")
    }

    /// Starts a daemon again after its process ended.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn restart(fleet: &mut cuminloom_standins::fleet::Fleet) {
    /// fleet.restart(0).unwrap();
    /// # }
    /// ```
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        let member = &mut self.members[index];
        let log = self.plan.capture.then_some(&*member.log);
        member.process = Some(start_daemon(&member.settings, log)?);
        Ok(())
    }

    /// Waits until every running daemon reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn wait(fleet: &cuminloom_standins::fleet::Fleet) {
    /// fleet.wait_ready().unwrap();
    /// # }
    /// ```
    pub fn wait_ready(&self) -> io::Result<()> {
        let start = Instant::now();
        for member in self
            .members
            .iter()
            .filter(|member| member.process.is_some())
        {
            while !is_ready(member.caller) {
                if start.elapsed() > READY_LIMIT {
                    return Err(io::Error::other(format!("{} is not ready", member.id)));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Cuts a data centre off from the platform and from the daemons of the others. Requests to the
    /// platform hang; those that were sent take effect when the cut ends.
    ///
    /// # Errors
    ///
    /// Fails when a stand-in does not answer.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn cut(fleet: &cuminloom_standins::fleet::Fleet) {
    /// fleet.cut("cebu-south").unwrap();
    /// fleet.heal("cebu-south").unwrap();
    /// # }
    /// ```
    pub fn cut(&self, dc: &str) -> io::Result<()> {
        self.control_platform(&json!({ "dc": dc, "hang": true }))?;
        self.control_links(dc, "cut")
    }

    /// Ends a cut.
    ///
    /// # Errors
    ///
    /// Fails when a stand-in does not answer.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn heal(fleet: &cuminloom_standins::fleet::Fleet) {
    /// fleet.heal("cebu-south").unwrap();
    /// # }
    /// ```
    pub fn heal(&self, dc: &str) -> io::Result<()> {
        self.control_platform(&json!({ "dc": dc, "hang": false }))?;
        self.control_links(dc, "open")
    }

    /// Changes the faults of the platform; see `platform::Control` for the fields.
    ///
    /// # Errors
    ///
    /// Fails when the platform's control port does not answer.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn down(fleet: &cuminloom_standins::fleet::Fleet) {
    /// fleet.control_platform(&serde_json::json!({ "down": true })).unwrap();
    /// # }
    /// ```
    pub fn control_platform(&self, change: &Value) -> io::Result<()> {
        post(self.platform.addr("control"), change)
    }

    fn control_links(&self, dc: &str, mode: &str) -> io::Result<()> {
        let Some(relay) = &self.relay else {
            return Ok(());
        };
        for (name, from, to) in self.links() {
            if from == dc || to == dc {
                post(
                    relay.addr("control"),
                    &json!({ "name": name, "mode": mode }),
                )?;
            }
        }
        Ok(())
    }

    /// Name, data centre of the dialling daemons and data centre of the dialled daemon of each relay.
    fn links(&self) -> Vec<(String, &'static str, &'static str)> {
        let mut links = Vec::new();
        for (id, to, _) in self.places() {
            for (from, _) in self.plan.dcs.iter().filter(|(from, _)| *from != to) {
                links.push((format!("{from}-to-{id}"), *from, to));
            }
        }
        links
    }

    fn start_relay(&mut self) -> io::Result<()> {
        let links = self.links();
        if links.is_empty() {
            // The only data centre has no links to others.
            return Ok(());
        }
        let places: Vec<_> = self.places().collect();
        let mut args = Vec::new();
        for (name, ..) in &links {
            let (_, _, ip) = places
                .iter()
                .find(|(id, ..)| name.ends_with(&format!("-to-{id}")))
                .expect("each link leads to a daemon");
            args.extend(["--listen".into(), format!("{name}=127.0.0.1:0")]);
            args.extend(["--to".into(), format!("{ip}:{PEER_PORT}")]);
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let names: Vec<&str> = links.iter().map(|(name, ..)| name.as_str()).collect();
        let names = [names, vec!["control"]].concat();
        self.relay = Some(Process::standin("relay-standin", &args, &names)?);
        Ok(())
    }

    fn seed(&self) -> io::Result<()> {
        let store = self.store();
        let edits = Mutex::new(ConfigState::default());
        for (kind, name, item) in items(&self.plan, &self.engines, &self.service)
            .into_iter()
            .chain(self.plan.items.clone())
        {
            let item: Item = serde_json::from_value(item).map_err(io::Error::other)?;
            let change = EditRequest {
                kind,
                name: name.into(),
                value: Some(item),
                if_match: None,
                operator: "board".into(),
                time: 0,
                request: format!("seed-{}-{name}", kind.plural()).into(),
            };
            config::propose(&edits, &store, change).map_err(|fault| {
                io::Error::other(format!("the item {name:?} was not accepted: {fault:?}"))
            })?;
        }
        for &(name, limit) in self
            .plan
            .budgets
            .iter()
            .chain(&[("lamps", self.plan.limit)])
        {
            let row = budget::Row::create("anod".into(), limit);
            let write = Write {
                key: format!("budget/{name}").into(),
                precondition: Precondition::Absent,
                change: store::Change::Put((&row).into()),
            };
            store.commit(&[write]).map_err(io::Error::other)?;
        }
        let vms: Vec<Value> = self
            .places()
            .map(|(id, dc, _)| json!({ "name": id, "dc": dc, "state": "live" }))
            .collect();
        let url = format!("http://{}/vms", self.platform.addr("control"));
        let body = json!({ "vms": vms }).to_string();
        minreq::put(url)
            .with_body(body)
            .send()
            .map_err(io::Error::other)?;
        Ok(())
    }

    /// Name, data centre and address of each daemon.
    fn places(&self) -> impl Iterator<Item = (String, &'static str, Ipv4Addr)> + '_ {
        let process = (std::process::id() % 200) as u8;
        let dcs = self
            .plan
            .dcs
            .iter()
            .flat_map(|&(dc, count)| (1..=count).map(move |n| (dc, n)));
        dcs.zip(10_u8..).map(move |((dc, n), host)| {
            let ip = Ipv4Addr::new(127, 20 + process, self.net, host);
            (format!("{dc}-{n}"), dc, ip)
        })
    }

    fn start_members(&mut self) -> io::Result<()> {
        let places: Vec<_> = self.places().collect();
        for (id, dc, ip) in places {
            let settings = self.folder.join(format!("{id}.jsonc"));
            let text = self.settings(&id, dc, ip, &self.peers_of(&id, dc));
            std::fs::write(&settings, text.to_string())?;
            let log = self.folder.join(format!("{id}.log"));
            let captured = self.plan.capture.then_some(&*log);
            self.members.push(Member {
                process: Some(start_daemon(&settings, captured)?),
                id,
                log: log.clone(),
                dc,
                caller: (ip, CALLER_PORT).into(),
                admin: (ip, ADMIN_PORT).into(),
                settings,
            });
        }
        Ok(())
    }

    /// The other daemons as `own` reaches them.
    fn peers_of(&self, own: &str, from: &str) -> Vec<Value> {
        let relay = || {
            self.relay
                .as_ref()
                .expect("the relay runs before the daemons")
        };
        let others = self.places().filter(|(id, ..)| id != own);
        others
            .map(|(id, dc, ip)| {
                let addr = match dc == from {
                    true => format!("{ip}:{PEER_PORT}"),
                    false => relay().addr(&format!("{from}-to-{id}")).to_string(),
                };
                json!({ "id": id, "addr": addr, "dc": dc })
            })
            .collect()
    }

    fn settings(&self, id: &str, dc: &str, ip: Ipv4Addr, others: &[Value]) -> Value {
        let token = hex::encode(Sha256::digest(TOKEN));
        let mut settings = json!({
            "daemon": { "id": id, "vm": id, "dc": dc },
            "caller": { "listen": format!("{ip}:{CALLER_PORT}") },
            "admin": {
                "listen": format!("{ip}:{ADMIN_PORT}"),
                "operators": [{ "name": "board", "token_sha256": token }],
            },
            "platform": { "addr": self.platform.addr(dc).to_string() },
            "peer": {
                "listen": format!("{ip}:{PEER_PORT}"),
                "secret": { "file": self.folder.join("secret") },
                "peers": others,
            },
            "log": { "level": self.plan.log },
        });
        let extra = self.plan.settings.as_object().cloned();
        for (group, values) in extra.unwrap_or_default() {
            for (name, value) in values.as_object().cloned().unwrap_or_default() {
                settings[&group][&name] = value;
            }
        }
        settings
    }
}
