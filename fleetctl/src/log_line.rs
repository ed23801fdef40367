//! Parser for log lines of the daemon: `key=value` pairs, with values in double quotes if they contain
//! spaces.

/// Parsed log line of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Unix time in milliseconds.
    pub time: u64,
    /// Name of the event.
    pub event: String,
    /// All pairs other than `t`, `level` and `event`, in order.
    pub pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` if it has no `t` or no `event`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_fleetctl::log_line::LogLine;
    /// let line = LogLine::parse("t=17 level=WARN event=feed_lost feed=op error=\"no route\"").unwrap();
    /// assert_eq!((line.time, line.event.as_str()), (17, "feed_lost"));
    /// assert_eq!(line.get("error"), Some("no route"));
    /// assert!(LogLine::parse("thread panicked").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<LogLine> {
        let pairs = parse_pairs(text);
        let find = |name: &str| {
            pairs
                .iter()
                .find(|(k, _)| k == name)
                .map(|(_, v)| v.clone())
        };
        let (time, event) = (find("t")?.parse().ok()?, find("event")?);
        let rest = |(key, _): &(String, String)| !matches!(&**key, "t" | "level" | "event");
        Some(LogLine {
            time,
            event,
            pairs: pairs.into_iter().filter(rest).collect(),
        })
    }

    /// Returns the value of the first pair with this key.
    pub fn get(&self, key: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        pairs.find(|(k, _)| k == key).map(|(_, v)| v.as_str())
    }
}

/// Splits a line into its `key=value` pairs. A quoted value without a closing quote extends to the end.
fn parse_pairs(text: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => split_bare_value(after),
        };
        found.push((key.trim().to_owned(), value.to_owned()));
        rest = next.trim_start();
    }
    found
}

/// Splits an unquoted value from the rest of the line. It ends at the first space outside parentheses; the
/// value of `sends=` has spaces inside them.
fn split_bare_value(text: &str) -> (&str, &str) {
    let mut depth = 0_u32;
    for (at, c) in text.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            ' ' if depth == 0 => return (&text[..at], &text[at..]),
            _ => {}
        }
    }
    (text, "")
}
