//! Explains from the daemons' logs why a request failed.

use std::fmt::Write;

use crate::log_line::LogLine;

/// Time before and after a request within which other events are shown, in milliseconds: the age up to
/// which a daemon treats its view of the store as fresh, plus a margin.
const CONTEXT_MS: u64 = 2_000;

/// Events about the state that requests depend on: the process, its settings, the configuration, the
/// store, the budgets and other daemons.
const CONTEXT_EVENTS: [&str; 26] = [
    "started",
    "stop_begun",
    "stopped",
    "settings_reloaded",
    "settings_unusable",
    "config_in_force",
    "config_unusable",
    "feed_lost",
    "feed_regained",
    "writes_lost",
    "writes_regained",
    "grants_inherited",
    "row_lost",
    "audit_unbalanced",
    "lines_dropped",
    "peer_unreachable",
    "peer_link_lost",
    "peers_lost",
    "peers_reached",
    "holder_role",
    "holder_silent",
    "commit",
    "suspect_blocked",
    "suspect_cleared",
    "suspects_restored",
    "runner_limit",
];

/// Ends of runners that are shown for a request that was refused because of them.
const MAX_CRASHES: usize = 10;

/// Log line with the daemon that wrote it.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// Name of the daemon, or of its log file.
    pub daemon: String,
    /// Parsed line.
    pub line: LogLine,
}

/// Parses the log of one daemon. Lines that are not events are skipped.
pub fn parse_log(daemon: &str, text: &str) -> Vec<LogEntry> {
    let lines = text.lines().filter_map(LogLine::parse);
    lines
        .map(|line| LogEntry {
            daemon: daemon.to_owned(),
            line,
        })
        .collect()
}

/// Describes what happened to the request `id`, why it ended as it did, and what else its daemons and
/// runners logged around that time. Returns `None` if no line has the id.
///
/// # Examples
///
/// ```
/// use cuminloom_fleetctl::explain::{explain, parse_log};
/// let log = parse_log("vm-1", "\
/// t=900 level=WARN event=writes_lost error=\"timed out\"
/// t=1000 level=INFO event=tokens id=r-1 customer=ann outcome=Release(2s) contact_ms=923
/// t=1001 level=INFO event=request_done id=r-1 status=503 code=no_grant verdict=not-run sends=
/// ");
/// let text = explain(&log, "r-1").unwrap();
/// assert!(text.contains("the tokens could not be reserved"));
/// assert!(text.contains("writes_lost"));
/// assert!(explain(&log, "r-2").is_none());
/// ```
pub fn explain(entries: &[LogEntry], id: &str) -> Option<String> {
    let mut own: Vec<&LogEntry> = entries
        .iter()
        .filter(|e| e.line.get("id") == Some(id))
        .collect();
    own.sort_by_key(|e| e.line.time);
    let (first, last) = (own.first()?.line.time, own.last()?.line.time);
    let mut out = format!("request {id}\n");
    own.iter()
        .for_each(|entry| write_entry(&mut out, entry, first));
    let done = find_end(&own);
    match done {
        Some(entry) => {
            let _ = writeln!(out, "cause: {}", describe_cause(&entry.line));
        }
        None => out.push_str(
            "cause: unknown; the request has not ended, or its last lines were dropped\n",
        ),
    }
    let crashes = find_crashes(entries, &own);
    if !crashes.is_empty() {
        out.push_str("runners that ended while they had such requests, at any daemon:\n");
        crashes
            .iter()
            .for_each(|entry| write_entry(&mut out, entry, first));
    }
    let nearby = nearby_events(entries, &own, first, last);
    if !nearby.is_empty() {
        out.push_str("other events around that time:\n");
        nearby
            .iter()
            .for_each(|entry| write_entry(&mut out, entry, first));
    }
    Some(out)
}

/// Returns the line that tells why the request with the lines `own` ended: the last `request_done`, or that of the daemon
/// to which it was handed over if its own daemon passed the answer on.
fn find_end<'a>(own: &[&'a LogEntry]) -> Option<&'a LogEntry> {
    let mut ends = own.iter().rev().filter(|e| e.line.event == "request_done");
    let last = *ends.next()?;
    if last.line.get("code") != Some("answered") {
        return Some(last);
    }
    let is_neighbour = |e: &&&LogEntry| e.line.get("origin") == Some("neighbour");
    Some(ends.find(is_neighbour).copied().unwrap_or(last))
}

/// Appends a line for `entry`, with its time relative to `start`.
fn write_entry(out: &mut String, entry: &LogEntry, start: u64) {
    let at = entry.line.time.cast_signed() - start.cast_signed();
    let _ = write!(out, "  {at:+6} ms  {}  {}", entry.daemon, entry.line.event);
    for (key, value) in entry.line.pairs.iter().filter(|(key, _)| key != "id") {
        let _ = write!(out, " {key}={value}");
    }
    out.push('\n');
}

/// Returns the last ends of runners under what the request was refused for, by `suspect_refused` among its
/// lines `own`: those whose answer had not begun.
fn find_crashes<'a>(entries: &'a [LogEntry], own: &[&LogEntry]) -> Vec<&'a LogEntry> {
    let refused = own.iter().rev().find(|e| e.line.event == "suspect_refused");
    let Some((kind, suspect)) = refused
        .and_then(|e| e.line.get("suspect"))
        .and_then(|s| s.split_once(':'))
    else {
        return Vec::new();
    };
    let has_suspect = |line: &LogLine| match kind {
        "part" => line
            .get("parts")
            .is_some_and(|p| p.split(',').any(|p| p == suspect)),
        _ => line.get("fingerprint") == Some(suspect),
    };
    let mut crashes: Vec<&LogEntry> = entries
        .iter()
        .filter(|e| e.line.event == "runner_crashed" && e.line.get("begun") == Some("false"))
        .filter(|e| has_suspect(&e.line))
        .collect();
    crashes.sort_by_key(|e| e.line.time);
    crashes.split_off(crashes.len().saturating_sub(MAX_CRASHES))
}

/// Returns the events within [`CONTEXT_MS`] of the request that the request's daemons logged about
/// [`CONTEXT_EVENTS`] or about the runners it was sent to. `own` holds the request's lines.
fn nearby_events<'a>(
    entries: &'a [LogEntry],
    own: &[&LogEntry],
    first: u64,
    last: u64,
) -> Vec<&'a LogEntry> {
    let runners: Vec<&str> = own.iter().filter_map(|e| e.line.get("runner")).collect();
    let span = first.saturating_sub(CONTEXT_MS)..=last + CONTEXT_MS;
    let of_daemon = |e: &LogEntry| own.iter().any(|o| o.daemon == e.daemon);
    let of_runner = |e: &LogEntry| {
        let runner = e.line.get("runner");
        e.line.event.starts_with("runner_") && runner.is_some_and(|r| runners.contains(&r))
    };
    let mut nearby: Vec<&LogEntry> = entries
        .iter()
        .filter(|e| span.contains(&e.line.time) && of_daemon(e))
        .filter(|e| CONTEXT_EVENTS.contains(&&*e.line.event) || of_runner(e))
        .collect();
    nearby.sort_by_key(|e| e.line.time);
    nearby
}

/// Describes the `code` and `verdict` of a request's `request_done` line.
fn describe_cause(done: &LogLine) -> String {
    let code = done.get("code").unwrap_or("");
    let text = match code {
        "answered" => "none, the request was answered",
        "caller_left" => "the caller closed its connection",
        "stopping" => {
            "the daemon was stopping: it took no more requests (not-run), could not end this one in time \
             (not-run), or ended it near the end of its grace period (may-have-run, broken-off)"
        }
        "bad_fields" => "a header field that the system reads is missing or malformed",
        "no_route" => "no route has this host and path",
        "unknown_key" => "no customer has this key",
        "no_configuration" => "the daemon had no configuration yet",
        "configuration_may_be_old" => {
            "the configuration in force does not allow it, but a newer one may: the store was unreachable"
        }
        "budget_exhausted" => "the customer's tokens are used up",
        "no_grant" => {
            "the tokens could not be reserved in time; outcome and contact_ms of `tokens` tell whether \
             the store was unreachable (Release, Refused) or other daemons held them (Grant); `holder` and \
             the line `reservation` of another daemon tell who decided; `tokens_missing` tells where the \
             customer's tokens were"
        }
        "crashes_runners" => {
            "such requests crash runners: `suspect` of `suspect_refused` is the request itself or a part of \
             its prompt; `sources` are the daemons that saw the runners end"
        }
        "no_turn" => {
            "only runners were left that name limits or want nothing for a time, and no turn came in time; \
             `no_turn` tells how many waited before it, `runner_paused` and `runner_limit` which they are"
        }
        "no_place" => {
            "the runners of the service are brittle, and none was known to have a place for it in time; \
             `no_place` and `service_brittle` tell how brittle"
        }
        "no_path" => {
            "its daemon could open no connection to the runners, and no neighbour took it: `reach_changed` \
             tells since when, `handed_over` who was asked"
        }
        "neighbour_lost" => {
            "the connection to the neighbour to which it was handed over broke; `handed_over` names it"
        }
        "version_unknown" => {
            "nothing says which software version began the stream that it takes up"
        }
        "version_untold" => {
            "its stream began at another software version, of which others could not be told \
             (`stream_left_version`)"
        }
        "no_runner" => "no runner could take it in time; `placed` shows the state at each send",
        "no-connection" => "no runner accepted a connection",
        "turned-away" => "runners refused it as not run",
        "broken" => "the connection broke before a runner's answer was complete",
        "not-sent" => {
            "the runner left or wanted nothing by the time the connection was open; nothing was sent"
        }
        "silent" => {
            "a runner stopped responding and accepted no connection, or its stream had no event for longer \
             than callers wait (`stream_stalled`)"
        }
        "failed" => "a runner answered with an error of its own",
        "deadline" => "its deadline passed before a runner answered",
        "deadline_before_send" => "its deadline passed before it was sent",
        _ => "code not known to this version of the tool",
    };
    let verdict = done.get("verdict").unwrap_or("-");
    format!("{text} ({code}, {verdict})")
}
