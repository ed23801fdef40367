//! A model engine in the chat-completions dialect, with whole answers and server-sent events.

use std::{
    collections::BTreeMap,
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::Duration,
};

use cuminloom::wire::target::{
    Load,
    Order,
    Usage, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    queue::Queue,
    relay::Mode,
    server::{
        Call,
        Client,
        Events,
        Server, //
    },
};

/// Settings of an engine, all of which can be changed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Tokens per second of each request; 0 generates without pause.
    pub tokens_per_second: f64,
    /// Time to the first token, in milliseconds.
    pub ttft_ms: u64,
    /// Requests that run at once.
    pub capacity: u32,
    /// Tokens of an answer, unless `max_tokens` is lower.
    pub output_tokens: u64,
    /// Whether answers contain `usage`.
    pub usage: bool,
    /// Whether the load report says that the engine is leaving.
    pub leaving: bool,
    /// Whether orders with a stale fencing number are refused.
    pub fences: bool,
    /// Text in a prompt that crashes the engine.
    pub crash_marker: String,
    /// Time for which a crashed engine refuses connections, in milliseconds.
    pub crash_ms: u64,
    /// Whether a crash ends the process.
    pub exit_on_crash: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tokens_per_second: 0.0,
            ttft_ms: 0,
            capacity: 16,
            output_tokens: 32,
            usage: true,
            leaving: false,
            fences: true,
            crash_marker: "crash-the-engine".into(),
            crash_ms: 1000,
            exit_on_crash: false,
        }
    }
}

/// What happened to the requests with one `x-request-id`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Times that it started to run.
    pub runs: u64,
    /// Tokens generated, including those of interrupted runs.
    pub generated: u64,
    /// Tokens of prompts.
    pub prompt: u64,
    /// Runs that ended with a complete answer.
    pub finished: u64,
    /// Runs that ended because the client closed the connection.
    pub cancelled: u64,
    /// Runs that were ended by a crash.
    pub crashed: u64,
}

/// Counters of an engine since its process started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Sums over all requests.
    pub total: Run,
    /// Requests that were cancelled before they ran.
    pub unqueued: u64,
    /// Crashes.
    pub crashes: u64,
    /// Per `x-request-id`, the empty text for requests without one.
    pub requests: BTreeMap<String, Run>,
    /// Orders obeyed, as `<order> <argument> <fencing>`.
    pub orders: Vec<String>,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    counters: Counters,
    fencing: u64,
    server: Option<Server>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    queue: Queue,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, id: &str, change: impl Fn(&mut Run)) {
        let counters = &mut self.lock().counters;
        change(&mut counters.total);
        change(counters.requests.entry(id.into()).or_default());
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
    control: Server,
}

impl Engine {
    /// Listens on `listen` for requests and on `control` for changes of the settings.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::engine::{Engine, Settings};
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let engine = Engine::bind(any, any, Settings::default()).unwrap();
    /// let load = minreq::get(format!("http://{}/load", engine.addrs()[0].1)).send().unwrap();
    /// assert_eq!(load.status_code, 200);
    /// ```
    pub fn bind(listen: SocketAddr, control: SocketAddr, settings: Settings) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.queue.resize(settings.capacity);
        shared.lock().settings = settings;
        let (serving, controlled) = (shared.clone(), shared.clone());
        let server = Server::bind(listen, move |call| serve(&serving, call))?;
        shared.lock().server = Some(server.clone());
        let control = Server::bind(control, move |call| serve_control(&controlled, call))?;
        Ok(Self {
            shared,
            server,
            control,
        })
    }

    /// Names and addresses of the listeners: `engine` and `control`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::engine::{Engine, Settings};
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let engine = Engine::bind(any, any, Settings::default()).unwrap();
    /// assert_eq!(engine.addrs()[1].0, "control");
    /// ```
    pub fn addrs(&self) -> [(String, SocketAddr); 2] {
        [
            ("engine".into(), self.server.addr()),
            ("control".into(), self.control.addr()),
        ]
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        // Breaks the cycle through which the server would keep itself alive.
        self.shared.lock().server = None;
    }
}

/// Token `index` of the answer to `prompt`, so that a test can tell whose answer it got.
///
/// # Examples
///
/// ```
/// use cuminloom_standins::engine::token;
/// assert_eq!(token("hello", 3), token("hello", 3));
/// assert_ne!(token("hello", 3), token("goodbye", 3));
/// ```
pub fn token(prompt: &str, index: u64) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    format!("{:08x}.{index} ", hasher.finish() >> 32)
}

#[derive(Debug, Deserialize)]
struct Request {
    #[serde(default)]
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

impl Request {
    /// Text of all messages.
    fn prompt(&self) -> String {
        let texts = self
            .messages
            .iter()
            .map(|message| message["content"].as_str());
        texts.flatten().collect::<Vec<_>>().join("\n")
    }
}

fn serve_control(shared: &Shared, call: Call) {
    match (call.method.as_str(), call.path.as_str()) {
        // The body holds the settings to change; the others stay as they are.
        ("POST", "/control") => call.with_json(|call, change: serde_json::Map<String, Value>| {
            let mut state = shared.lock();
            let mut merged = serde_json::to_value(&state.settings).expect("plain fields");
            let fields = merged.as_object_mut().expect("a struct");
            let unknown = change
                .keys()
                .find(|key| !fields.contains_key(*key))
                .cloned();
            fields.extend(change);
            match serde_json::from_value::<Settings>(merged) {
                Ok(settings) if unknown.is_none() => state.settings = settings,
                result => {
                    drop(state);
                    let reason = format!("unknown field {unknown:?} or {:?}", result.err());
                    return call.answer(400, &reason);
                }
            }
            shared.queue.resize(state.settings.capacity);
            drop(state);
            call.answer(200, &());
        }),
        ("GET", "/counters") => {
            let counters = shared.lock().counters.clone();
            call.answer(200, &counters);
        }
        _ => call.answer(404, &()),
    }
}

fn serve(shared: &Shared, call: Call) {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/load") => {
            let leaving = shared.lock().settings.leaving;
            let (running, waiting, capacity) = shared.queue.load();
            let load = Load {
                running,
                waiting,
                capacity,
                leaving,
            };
            call.answer(200, &load);
        }
        ("POST", "/orders") => call.with_json(|call, order| obey(shared, call, &order)),
        ("POST", "/v1/chat/completions") => call.with_json(|call, request| {
            chat(shared, call, &request);
        }),
        _ => call.answer(404, &()),
    }
}

fn obey(shared: &Shared, call: Call, order: &Order) {
    let mut state = shared.lock();
    let highest = state.fencing;
    if state.settings.fences && order.fencing < highest {
        drop(state);
        return call.answer(409, &json!({ "highest": highest }));
    }
    state.fencing = highest.max(order.fencing);
    let line = format!("{} {} {}", order.order, order.argument, order.fencing);
    state.counters.orders.push(line);
    drop(state);
    call.answer(200, &());
}

/// One run of a request.
struct Job<'a> {
    shared: &'a Shared,
    client: Client,
    id: String,
    prompt: String,
    usage: Usage,
    crashes: u64,
    pause: Duration,
}

fn chat(shared: &Shared, call: Call, request: &Request) {
    let client = call.client();
    let Some(_place) = shared.queue.enter(request.priority, || !client.gone()) else {
        shared.lock().counters.unqueued += 1;
        return;
    };
    let prompt = request.prompt();
    let id = call.header("x-request-id").unwrap_or_default().to_owned();
    let (settings, crashes) = {
        let state = shared.lock();
        (state.settings.clone(), state.counters.crashes)
    };
    let total = settings
        .output_tokens
        .min(request.max_tokens.unwrap_or(u64::MAX));
    // Four bytes a token, as common tokenizers come close to.
    let prompt_tokens = prompt.len().div_ceil(4) as u64;
    let mut job = Job {
        shared,
        client,
        id,
        usage: Usage {
            prompt_tokens,
            completion_tokens: 0,
            total_tokens: prompt_tokens,
        },
        crashes,
        pause: pause_of(settings.tokens_per_second),
        prompt,
    };
    shared.count(&job.id, |run| {
        run.runs += 1;
        run.prompt += prompt_tokens;
    });
    if !settings.crash_marker.is_empty() && job.prompt.contains(&settings.crash_marker) {
        crash(shared, &settings);
    }
    let first = Duration::from_millis(settings.ttft_ms);
    let is_alive = job.client.sleep(first);
    let finished = is_alive && !job.has_crashed() && job.run(call, request, &settings, total);
    let crashed = !finished && job.has_crashed();
    shared.count(&job.id, |run| {
        run.finished += u64::from(finished);
        run.crashed += u64::from(crashed);
        run.cancelled += u64::from(!finished && !crashed);
    });
}

fn pause_of(rate: f64) -> Duration {
    if rate > 0.0 {
        Duration::from_secs_f64(1.0 / rate)
    } else {
        Duration::ZERO
    }
}

/// Closes all connections and refuses new ones for a while.
fn crash(shared: &Shared, settings: &Settings) {
    if settings.exit_on_crash {
        std::process::exit(101);
    }
    shared.lock().counters.crashes += 1;
    let server = shared.lock().server.clone();
    let Some(server) = server else { return };
    server.set(Mode::Cut);
    let down = Duration::from_millis(settings.crash_ms);
    thread::spawn(move || {
        thread::sleep(down);
        server.set(Mode::Open);
    });
}

impl Job<'_> {
    fn has_crashed(&self) -> bool {
        self.shared.lock().counters.crashes != self.crashes
    }

    /// Generates one token, or returns nothing when the client has gone.
    fn next(&mut self) -> Option<String> {
        if self.client.gone() || !self.client.sleep(self.pause) {
            return None;
        }
        let text = token(&self.prompt, self.usage.completion_tokens);
        self.usage.completion_tokens += 1;
        self.usage.total_tokens += 1;
        self.shared.count(&self.id, |run| run.generated += 1);
        Some(text)
    }

    /// Generates `total` tokens and answers; returns whether the answer was completed.
    fn run(&mut self, call: Call, request: &Request, settings: &Settings, total: u64) -> bool {
        if !request.stream {
            let mut text = String::new();
            for _ in 0..total {
                let Some(token) = self.next() else {
                    return false;
                };
                text += &token;
            }
            let body = self.whole(&request.model, &text, settings.usage);
            call.answer(200, &body);
            return true;
        }
        let Ok(mut events) = call.events() else {
            return false;
        };
        let usage = settings.usage && request.stream_options.include_usage;
        let sent = self.stream(&mut events, request, total, usage);
        if sent.is_some() {
            events.end();
        }
        sent.is_some()
    }

    fn whole(&self, model: &str, text: &str, usage: bool) -> Value {
        let mut body = json!({
            "id": self.id, "object": "chat.completion", "model": model,
            "choices": [{
                "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": text },
            }],
        });
        if usage {
            body["usage"] = json!(self.usage);
        }
        body
    }

    fn stream(
        &mut self,
        events: &mut Events,
        request: &Request,
        total: u64,
        usage: bool,
    ) -> Option<()> {
        let chunk = |choices: Value| {
            json!({
                "id": "", "object": "chat.completion.chunk", "model": request.model,
                "choices": choices,
            })
        };
        for _ in 0..total {
            let delta = json!({ "content": self.next()? });
            let choices = json!([{ "index": 0, "delta": delta, "finish_reason": null }]);
            events.send(&chunk(choices).to_string()).ok()?;
        }
        let choices = json!([{ "index": 0, "delta": {}, "finish_reason": "stop" }]);
        events.send(&chunk(choices).to_string()).ok()?;
        if usage {
            let mut last = chunk(json!([]));
            last["usage"] = json!(self.usage);
            events.send(&last.to_string()).ok()?;
        }
        events.send("[DONE]").ok()
    }
}
