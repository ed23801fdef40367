//! Reads values out of the parsed settings and collects every fault.

use std::fmt;

use jsonc_parser::{
    CollectOptions,
    ParseOptions,
    ast,
    common::Ranged,
    parse_to_ast, //
};

/// Lowest similarity at which a known key is suggested for an unknown one.
const SIMILAR: f64 = 0.7;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Path of the value, for example `peer.peers[1].addr`; empty for the whole file.
    pub path: String,
    /// Line in the file, from 1; 0 when the fault has no place in it.
    pub line: usize,
    /// What the file has there, without anything secret.
    pub found: String,
    /// What is accepted.
    pub expected: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "found {}, expected {}", self.found, self.expected)
    }
}

impl std::error::Error for SettingError {}

/// The text of the file and the faults found so far.
pub(super) struct Faults<'a> {
    text: &'a str,
    pub(super) list: Vec<SettingError>,
}

impl<'a> Faults<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            list: Vec::new(),
        }
    }

    fn line(&self, at: usize) -> usize {
        let head = &self.text.as_bytes()[..at.min(self.text.len())];
        head.iter().filter(|&&byte| byte == b'\n').count() + 1
    }

    pub(super) fn add(&mut self, path: &str, at: usize, found: &str, expected: &str) {
        self.list.push(SettingError {
            path: path.into(),
            line: self.line(at),
            found: found.into(),
            expected: expected.into(),
        });
    }
}

/// JSON with comments and trailing commas, and nothing else that the parser would let pass.
pub(crate) fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Parses the text of the file.
pub(super) fn parse<'a>(text: &'a str, faults: &mut Faults<'a>) -> Option<ast::Value<'a>> {
    match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
        Ok(parsed) => {
            if parsed.value.is_none() {
                faults.add(
                    "",
                    0,
                    "an empty file",
                    "an object with the groups of settings",
                );
            }
            parsed.value
        }
        Err(err) => {
            let found = format!("a syntax error ({})", err.kind());
            faults.add("", err.range().start, &found, "JSON with comments");
            None
        }
    }
}

fn found(value: &ast::Value<'_>, private: bool) -> String {
    match value {
        ast::Value::StringLit(lit) if private => {
            format!("a string of {} characters", lit.value.chars().count())
        }
        ast::Value::StringLit(lit) => format!("{:?}", lit.value),
        ast::Value::NumberLit(lit) if !private => lit.value.into(),
        ast::Value::NumberLit(_) => "a number".into(),
        ast::Value::BooleanLit(lit) => lit.value.to_string(),
        ast::Value::Object(_) => "an object".into(),
        ast::Value::Array(_) => "an array".into(),
        ast::Value::NullKeyword(_) => "null".into(),
    }
}

/// One object of the file. It remembers which keys were asked for; `finish` reports the others.
pub(super) struct Group<'a, 'b> {
    path: String,
    at: usize,
    object: Option<&'b ast::Object<'a>>,
    known: Vec<&'static str>,
}

impl<'a, 'b> Group<'a, 'b> {
    pub(super) fn of(value: &'b ast::Value<'a>, path: String, faults: &mut Faults<'_>) -> Self {
        let object = value.as_object();
        if object.is_none() {
            // Where an object belongs, a string may be a secret that was put in its place.
            faults.add(&path, value.start(), &found(value, true), "an object");
        }
        Self {
            path,
            at: value.start(),
            object,
            known: Vec::new(),
        }
    }

    fn join(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.into();
        }
        format!("{}.{key}", self.path)
    }

    fn get(&mut self, key: &'static str) -> Option<&'b ast::Value<'a>> {
        self.known.push(key);
        Some(&self.object?.get(key)?.value)
    }

    fn missing(&self, key: &str, expected: &str, faults: &mut Faults<'_>) {
        // An object of the wrong type was reported as a whole.
        if self.object.is_some() {
            faults.add(&self.join(key), self.at, "nothing", expected);
        }
    }

    /// Whether the object has this key.
    pub(super) fn has(&self, key: &str) -> bool {
        self.object.is_some_and(|object| object.get(key).is_some())
    }

    /// A group inside this one; a missing one counts as empty.
    pub(super) fn group(&mut self, key: &'static str, faults: &mut Faults<'_>) -> Group<'a, 'b> {
        let path = self.join(key);
        if let Some(value) = self.get(key) {
            return Group::of(value, path, faults);
        }
        Group {
            path,
            at: self.at,
            object: None,
            known: Vec::new(),
        }
    }

    /// A group that must be there.
    pub(super) fn need_group(
        &mut self,
        key: &'static str,
        faults: &mut Faults<'_>,
    ) -> Group<'a, 'b> {
        if !self.has(key) {
            self.missing(key, "an object", faults);
        }
        self.group(key, faults)
    }

    /// The elements of an array, each as a group; a missing array counts as empty.
    pub(super) fn groups(
        &mut self,
        key: &'static str,
        faults: &mut Faults<'_>,
    ) -> Vec<Group<'a, 'b>> {
        let path = self.join(key);
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            faults.add(&path, value.start(), &found(value, false), "an array");
            return Vec::new();
        };
        let each = array.elements.iter().enumerate();
        each.map(|(at, value)| Group::of(value, format!("{path}[{at}]"), faults))
            .collect()
    }

    fn check<T>(
        &mut self,
        key: &'static str,
        kind: &Kind<T>,
        faults: &mut Faults<'_>,
    ) -> Option<T> {
        let value = self.get(key)?;
        let read = (kind.read)(value);
        if read.is_none() {
            let found = found(value, kind.private);
            faults.add(&self.join(key), value.start(), &found, kind.expected);
        }
        read
    }

    /// A value that must be there; `blank` stands in when it is faulty.
    pub(super) fn need<T>(
        &mut self,
        key: &'static str,
        kind: &Kind<T>,
        blank: T,
        faults: &mut Faults<'_>,
    ) -> T {
        if !self.has(key) {
            self.missing(key, kind.expected, faults);
        }
        self.check(key, kind, faults).unwrap_or(blank)
    }

    /// A value with a default.
    pub(super) fn or<T>(
        &mut self,
        key: &'static str,
        kind: &Kind<T>,
        default: T,
        faults: &mut Faults<'_>,
    ) -> T {
        self.check(key, kind, faults).unwrap_or(default)
    }

    /// A value that may be missing.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        kind: &Kind<T>,
        faults: &mut Faults<'_>,
    ) -> Option<T> {
        self.check(key, kind, faults)
    }

    /// Reports a fault of `key`, at the start of the group when it lacks the key. The fault of a
    /// group that is missing or no object was reported before.
    pub(super) fn reject(&self, key: &str, found: &str, expected: &str, faults: &mut Faults<'_>) {
        let Some(object) = self.object else { return };
        let at = object.get(key).map_or(self.at, |prop| prop.value.start());
        faults.add(&self.join(key), at, found, expected);
    }

    /// Reports unknown and repeated keys.
    pub(super) fn finish(self, faults: &mut Faults<'_>) {
        let Some(object) = self.object else { return };
        for (at, prop) in object.properties.iter().enumerate() {
            let name = prop.name.as_str();
            let earlier = &object.properties[..at];
            if !self.known.contains(&name) {
                let expected = nearest(name, &self.known);
                faults.add(&self.join(name), prop.start(), "an unknown key", &expected);
            } else if earlier.iter().any(|other| other.name.as_str() == name) {
                faults.add(
                    &self.join(name),
                    prop.start(),
                    "a repeated key",
                    "one value",
                );
            }
        }
    }
}

fn nearest(name: &str, known: &[&'static str]) -> String {
    let similar = known
        .iter()
        .map(|key| (strsim::jaro_winkler(name, key), *key))
        .max_by(|left, right| left.0.total_cmp(&right.0));
    match similar {
        Some((score, key)) if score >= SIMILAR => format!("{key:?}"),
        _ => format!("one of {}", known.join(", ")),
    }
}

/// A kind of value: how it is read and what is accepted.
pub(super) struct Kind<T> {
    pub(super) expected: &'static str,
    /// Whether a faulty value may be a secret, which must not be printed.
    pub(super) private: bool,
    pub(super) read: fn(&ast::Value<'_>) -> Option<T>,
}
