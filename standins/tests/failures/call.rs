//! Calls of callers and operators to a deployment.

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    process::{
        Command,
        Output, //
    },
    thread::JoinHandle,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_standins::{
    engine::{
        Counters,
        token, //
    },
    fleet::{
        Fleet,
        KEY,
        TOKEN, //
    },
    process::{
        Process,
        binary, //
    },
    service::Effects,
};
use serde::de::DeserializeOwned;
use serde_json::{
    Value,
    json, //
};

/// Longest wait for a state; only a run that fails takes this long.
const LIMIT: Duration = Duration::from_secs(90);
/// Pause between two looks at a state.
const LOOK: Duration = Duration::from_millis(50);
/// Longest wait of a caller, in seconds.
const CALLER_LIMIT_S: u64 = 60;
/// Tokens of a complete answer of the engines.
const TOKENS: u64 = 32;

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// HTTP status; 0 without an answer.
    pub(crate) status: u16,
    /// Verdict of a refusal or failure, or of a plain answer.
    pub(crate) verdict: String,
    /// Code of a refusal or failure.
    pub(crate) code: String,
    /// Whether the answer is complete.
    pub(crate) complete: bool,
}

impl Answer {
    fn note_error(&mut self, text: &str) {
        let Ok(body) = serde_json::from_str::<Value>(text) else {
            return;
        };
        if let Some(code) = body["error"]["code"].as_str() {
            self.code = code.into();
            self.verdict = body["error"]["verdict"].as_str().unwrap_or_default().into();
        }
    }
}

/// Waits until `is_met` holds.
pub(crate) fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < LIMIT, "waited too long until {what}");
        std::thread::sleep(LOOK);
    }
}

/// Sends a streamed chat request and reads the answer to its end. A complete answer must be the
/// whole answer to this prompt.
pub(crate) fn chat(addr: SocketAddr, prompt: &str) -> Answer {
    let body = json!({
        "model": "chat", "stream": true,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let reply = minreq::post(format!("http://{addr}/v1/chat/completions"))
        .with_header("Authorization", format!("Bearer {KEY}"))
        .with_body(body.to_string())
        .with_timeout(CALLER_LIMIT_S)
        .send_lazy();
    let Ok(reply) = reply else {
        return Answer::default();
    };
    let mut answer = Answer {
        status: reply.status_code,
        ..Answer::default()
    };
    let mut text = String::new();
    for line in BufReader::new(reply).lines().map_while(Result::ok) {
        let data = line.strip_prefix("data: ").unwrap_or(&line);
        answer.complete |= data == "[DONE]";
        answer.note_error(data);
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let delta = &event["choices"][0]["delta"]["content"];
        text += delta.as_str().unwrap_or_default();
    }
    if answer.complete {
        let expected: String = (0..TOKENS).map(|index| token(prompt, index)).collect();
        assert_eq!(text, expected, "a complete answer is the caller's own");
    }
    answer
}

/// Sends a streamed chat request from a caller of its own.
pub(crate) fn open_chat(addr: SocketAddr, prompt: &str) -> JoinHandle<Answer> {
    let prompt = prompt.to_owned();
    std::thread::spawn(move || chat(addr, &prompt))
}

/// Chats through a daemon until an answer is complete. Every refusal before must be as not run.
pub(crate) fn chat_until_served(addr: SocketAddr, prompt: &str) {
    wait_until(&format!("{addr} serves {prompt:?}"), || {
        let answer = chat(addr, prompt);
        if !answer.complete {
            eprintln!("{addr} did not serve {prompt:?}: {answer:?}");
        }
        assert!(
            answer.complete || matches!(answer.verdict.as_str(), "not-run" | ""),
            "{answer:?}"
        );
        answer.complete
    });
}

/// Value of a header of an answer.
pub(crate) fn header(reply: &minreq::Response, name: &str) -> Option<String> {
    let mut headers = reply.headers.iter();
    headers
        .find(|(it, _)| it.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.clone())
}

/// Sends a request that must not be repeated to the plain service.
pub(crate) fn deposit(addr: SocketAddr, key: &str) -> Answer {
    let reply = minreq::post(format!("http://{addr}/s/deposit/deposits"))
        .with_header("Authorization", format!("Bearer {KEY}"))
        .with_header("Idempotency-Key", key)
        .with_body("7")
        .with_timeout(CALLER_LIMIT_S)
        .send();
    let Ok(reply) = reply else {
        return Answer::default();
    };
    let verdict = header(&reply, "x-cuminloom-verdict");
    let mut answer = Answer {
        status: reply.status_code,
        verdict: verdict.unwrap_or_default(),
        ..Answer::default()
    };
    answer.note_error(reply.as_str().unwrap_or_default());
    answer.complete = answer.status == 200 && answer.code.is_empty() && !answer.verdict.is_empty();
    answer
}

/// Reads JSON from the control port of a stand-in.
fn read<T: DeserializeOwned>(process: &Process, path: &str) -> T {
    let url = format!("http://{}{path}", process.addr("control"));
    let reply = minreq::get(url).with_timeout(30).send().unwrap();
    serde_json::from_slice(reply.as_bytes()).unwrap()
}

/// Changes the settings of a stand-in.
pub(crate) fn control(process: &Process, body: &Value) {
    let url = format!("http://{}/control", process.addr("control"));
    let reply = minreq::post(url).with_body(body.to_string()).send();
    assert_eq!(reply.unwrap().status_code, 200);
}

/// Counters of an engine.
pub(crate) fn counters(engine: &Process) -> Counters {
    read(engine, "/counters")
}

/// Effects at the plain service.
pub(crate) fn effects(fleet: &Fleet) -> Effects {
    read(&fleet.service, "/effects")
}

/// Tokens that all engines generated.
pub(crate) fn generated(fleet: &Fleet) -> u64 {
    let engines = fleet.engines.iter();
    engines.map(|it| counters(it).total.generated).sum()
}

/// Runs of all engines that were started.
pub(crate) fn runs(fleet: &Fleet) -> u64 {
    let engines = fleet.engines.iter();
    engines.map(|it| counters(it).total.runs).sum()
}

/// Runs `cuminloomctl` at a daemon.
pub(crate) fn ctl(fleet: &Fleet, index: usize, args: &[&str]) -> Output {
    Command::new(binary("cuminloomctl"))
        .env("CUMINLOOM_TOKEN", TOKEN)
        .args(["-d", &fleet.members[index].admin.to_string()])
        .args(["--timeout", "60"])
        .args(args)
        .output()
        .expect("cuminloomctl starts")
}

/// Runs `cuminloomctl` and expects success.
pub(crate) fn ctl_done(fleet: &Fleet, index: usize, args: &[&str]) -> String {
    let output = ctl(fleet, index, args);
    assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
    String::from_utf8(output.stdout).expect("text")
}
