//! Minimal JSON reader, base64 and escaping, so that the stand-ins need no library.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    /// Text; empty for other values.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(s) => s,
            _ => "",
        }
    }

    /// Number as an integer; 0 for other values.
    pub fn integer(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }

    /// Entries of a list; empty for other values.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses a JSON text; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    blanks(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn blanks(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    blanks(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                blanks(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(b, at)?;
                        blanks(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                blanks(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(b, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(string(b, at)?)),
        b't' => literal(b, at, "true", Json::Bool),
        b'f' => literal(b, at, "false", Json::Bool),
        b'n' => literal(b, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[from..*at]).ok()?;
            Some(Json::Number(text.parse().ok()?))
        }
    }
}

fn literal(b: &[u8], at: &mut usize, word: &str, json: Json) -> Option<Json> {
    b[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        json
    })
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let c = *b.get(*at + 1)?;
                *at += 2;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(c.to_string().as_bytes());
                        *at += 4;
                    }
                    c => out.push(c),
                }
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk
            .iter()
            .chain([&0, &0])
            .take(3)
            .fold(0_u32, |n, b| n << 8 | u32::from(*b));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(DIGITS[(n >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Decodes base64; invalid characters are skipped.
pub fn unbase64(text: &str) -> Vec<u8> {
    let digit = |c: u8| match c {
        b'A'..=b'Z' => Some(c - b'A'),
        b'a'..=b'z' => Some(c - b'a' + 26),
        b'0'..=b'9' => Some(c - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let (mut out, mut n, mut bits) = (Vec::new(), 0_u32, 0);
    for d in text.bytes().filter_map(digit) {
        n = n << 6 | u32::from(d);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
        }
    }
    out
}

/// Escapes a text for JSON, with its quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out + "\""
}
