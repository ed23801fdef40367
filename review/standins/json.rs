//! Reads and writes JSON, as far as the store's calls need it.

use std::{collections::BTreeMap, fmt};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// The entry `name` of a table; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(entries) => entries.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// The text, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// The number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }

    /// The entries of a list, or none.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    /// Parses a text; `None` if it is no JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.peek().is_some_and(|b| b.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        while self
            .peek()
            .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(&b))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = self.peek()?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = self.peek()?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code)?;
                            out.extend(letter.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.expect(b'[')?;
        let mut list = Vec::new();
        self.space();
        if self.peek()? == b']' {
            self.at += 1;
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            self.space();
            self.at += 1;
            match self.bytes.get(self.at - 1)? {
                b',' => {}
                b']' => return Some(Json::List(list)),
                _ => return None,
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.expect(b'{')?;
        let mut entries = BTreeMap::new();
        self.space();
        if self.peek()? == b'}' {
            self.at += 1;
            return Some(Json::Table(entries));
        }
        loop {
            self.space();
            let name = self.text()?;
            self.expect(b':')?;
            entries.insert(name, self.value()?);
            self.space();
            self.at += 1;
            match self.bytes.get(self.at - 1)? {
                b',' => {}
                b'}' => return Some(Json::Table(entries)),
                _ => return None,
            }
        }
    }
}

/// Writes a text as JSON does.
fn quote(text: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 32 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(n) => write!(f, "{n}"),
            Json::Text(text) => quote(text, f),
            Json::List(list) => {
                f.write_str("[")?;
                for (i, entry) in list.iter().enumerate() {
                    write!(f, "{}{entry}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Table(entries) => {
                f.write_str("{")?;
                for (i, (name, entry)) in entries.iter().enumerate() {
                    f.write_str(if i > 0 { "," } else { "" })?;
                    quote(name, f)?;
                    write!(f, ":{entry}")?;
                }
                f.write_str("}")
            }
        }
    }
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for i in 0..4 {
            match i <= group.len() {
                true => out.push(LETTERS[(bits >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
