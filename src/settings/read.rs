//! Reads values from the parsed settings and collects all errors.

use std::fmt;

use jsonc_parser::{
    CollectOptions,
    ParseOptions,
    ast,
    common::Ranged,
    parse_to_ast, //
};

/// Lowest Jaro-Winkler similarity at which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Path of the value, for example `peer.peers[1].addr`; empty for the whole file.
    pub path: String,
    /// Line in the file, from 1; 0 when the error is not on a line of it.
    pub line: usize,
    /// Value that was found, without secrets.
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

/// Text of the file and the errors found so far.
pub(super) struct Errors<'a> {
    text: &'a str,
    pub(super) list: Vec<SettingError>,
}

impl<'a> Errors<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            list: Vec::new(),
        }
    }

    /// Line of the byte offset `at`, from 1.
    fn line(&self, at: usize) -> usize {
        let head = &self.text.as_bytes()[..at.min(self.text.len())];
        head.iter().filter(|&&byte| byte == b'\n').count() + 1
    }

    /// Adds an error at the byte offset `at`.
    pub(super) fn add(&mut self, path: &str, at: usize, found: &str, expected: &str) {
        self.list.push(SettingError {
            path: path.into(),
            line: self.line(at),
            found: found.into(),
            expected: expected.into(),
        });
    }
}

/// Parse options for JSON with comments and trailing commas; all other extensions are off.
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
pub(super) fn parse<'a>(text: &'a str, errors: &mut Errors<'a>) -> Option<ast::Value<'a>> {
    match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
        Ok(parsed) => {
            if parsed.value.is_none() {
                errors.add(
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
            errors.add("", err.range().start, &found, "JSON with comments");
            None
        }
    }
}

/// Describes a value that was not accepted; a private string or number is not printed.
fn describe(value: &ast::Value<'_>, private: bool) -> String {
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

/// An object of the file that is being read. `finish` reports the keys that were not read.
pub(super) struct Group<'a, 'b> {
    path: String,
    /// Byte offset of the object, or of the enclosing one if it is missing.
    at: usize,
    object: Option<&'b ast::Object<'a>>,
    /// Keys that were read.
    known: Vec<&'static str>,
}

impl<'a, 'b> Group<'a, 'b> {
    pub(super) fn new(value: &'b ast::Value<'a>, path: String, errors: &mut Errors<'_>) -> Self {
        let object = value.as_object();
        if object.is_none() {
            // A string in place of an object may be a secret.
            errors.add(&path, value.start(), &describe(value, true), "an object");
        }
        Self {
            path,
            at: value.start(),
            object,
            known: Vec::new(),
        }
    }

    /// Path of a key of this object.
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.into();
        }
        format!("{}.{key}", self.path)
    }

    /// Value of a key, which is marked as known.
    fn get(&mut self, key: &'static str) -> Option<&'b ast::Value<'a>> {
        self.known.push(key);
        Some(&self.object?.get(key)?.value)
    }

    /// Reports a missing key.
    fn add_missing(&self, key: &str, expected: &str, errors: &mut Errors<'_>) {
        // A value that is not an object was reported already.
        if self.object.is_some() {
            errors.add(&self.path_of(key), self.at, "nothing", expected);
        }
    }

    /// Whether the object has this key.
    pub(super) fn has(&self, key: &str) -> bool {
        self.object.is_some_and(|object| object.get(key).is_some())
    }

    /// Returns an object inside this one; a missing one counts as empty.
    pub(super) fn group(&mut self, key: &'static str, errors: &mut Errors<'_>) -> Group<'a, 'b> {
        let path = self.path_of(key);
        if let Some(value) = self.get(key) {
            return Group::new(value, path, errors);
        }
        Group {
            path,
            at: self.at,
            object: None,
            known: Vec::new(),
        }
    }

    /// Returns a required object inside this one.
    pub(super) fn required_group(
        &mut self,
        key: &'static str,
        errors: &mut Errors<'_>,
    ) -> Group<'a, 'b> {
        if !self.has(key) {
            self.add_missing(key, "an object", errors);
        }
        self.group(key, errors)
    }

    /// Returns the objects of an array; a missing array counts as empty.
    pub(super) fn groups(
        &mut self,
        key: &'static str,
        errors: &mut Errors<'_>,
    ) -> Vec<Group<'a, 'b>> {
        let path = self.path_of(key);
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            errors.add(&path, value.start(), &describe(value, false), "an array");
            return Vec::new();
        };
        let each = array.elements.iter().enumerate();
        each.map(|(at, value)| Group::new(value, format!("{path}[{at}]"), errors))
            .collect()
    }

    /// Reads a value, and reports it if it is invalid.
    fn read<T>(
        &mut self,
        key: &'static str,
        kind: &ValueKind<T>,
        errors: &mut Errors<'_>,
    ) -> Option<T> {
        let value = self.get(key)?;
        let read = (kind.read)(value);
        if read.is_none() {
            let found = describe(value, kind.private);
            errors.add(&self.path_of(key), value.start(), &found, kind.expected);
        }
        read
    }

    /// Reads a required value; returns `blank` if it is missing or invalid.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        kind: &ValueKind<T>,
        blank: T,
        errors: &mut Errors<'_>,
    ) -> T {
        if !self.has(key) {
            self.add_missing(key, kind.expected, errors);
        }
        self.read(key, kind, errors).unwrap_or(blank)
    }

    /// Reads a value with a default.
    pub(super) fn or_default<T>(
        &mut self,
        key: &'static str,
        kind: &ValueKind<T>,
        default: T,
        errors: &mut Errors<'_>,
    ) -> T {
        self.read(key, kind, errors).unwrap_or(default)
    }

    /// Reads an optional value.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        kind: &ValueKind<T>,
        errors: &mut Errors<'_>,
    ) -> Option<T> {
        self.read(key, kind, errors)
    }

    /// Reports an error of `key`, at the start of the object if it lacks the key. If the object itself
    /// is missing or of another type, that was reported already.
    pub(super) fn reject(&self, key: &str, found: &str, expected: &str, errors: &mut Errors<'_>) {
        let Some(object) = self.object else { return };
        let at = object.get(key).map_or(self.at, |prop| prop.value.start());
        errors.add(&self.path_of(key), at, found, expected);
    }

    /// Reports unknown and repeated keys.
    pub(super) fn finish(self, errors: &mut Errors<'_>) {
        let Some(object) = self.object else { return };
        for (at, prop) in object.properties.iter().enumerate() {
            let name = prop.name.as_str();
            let earlier = &object.properties[..at];
            if !self.known.contains(&name) {
                let expected = suggest(name, &self.known);
                errors.add(
                    &self.path_of(name),
                    prop.start(),
                    "an unknown key",
                    &expected,
                );
            } else if earlier.iter().any(|other| other.name.as_str() == name) {
                errors.add(
                    &self.path_of(name),
                    prop.start(),
                    "a repeated key",
                    "one value",
                );
            }
        }
    }
}

/// Returns the known key that is most similar to `name`, or else all known keys.
fn suggest(name: &str, known: &[&'static str]) -> String {
    let similar = known
        .iter()
        .map(|key| (strsim::jaro_winkler(name, key), *key))
        .max_by(|left, right| left.0.total_cmp(&right.0));
    match similar {
        Some((score, key)) if score >= MIN_SIMILARITY => format!("{key:?}"),
        _ => format!("one of {}", known.join(", ")),
    }
}

/// A kind of value: how it is read and what is accepted.
pub(super) struct ValueKind<T> {
    /// Describes the accepted values in error messages.
    pub(super) expected: &'static str,
    /// Whether an invalid value may be a secret, which must not be printed.
    pub(super) private: bool,
    /// Returns the value, or `None` if it is invalid.
    pub(super) read: fn(&ast::Value<'_>) -> Option<T>,
}
