//! Parsing of chat-completions requests and the upper bound of their cost.

use std::sync::Arc;

use serde_json::{
    Map,
    Value,
    json, //
};

use crate::model::{
    Code,
    RequestError,
    Tokens,
    Urgency, //
};

/// Tokens that an engine's chat template may add to each message, and once to the prompt.
const MESSAGE_OVERHEAD_TOKENS: Tokens = 16;

/// Priorities sent to engines for urgent and patient requests; lower values run first.
const PRIORITIES: [i64; 2] = [0, 10];

/// A parsed chat-completions request, whose cost has a known upper bound.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    body: Map<String, Value>,
    /// Upper bound of the tokens of the prompt.
    prompt_tokens: Tokens,
    /// Number of choices that the engine may generate.
    choices: Tokens,
    /// Output limit of one choice, if the caller set one.
    max_output: Option<Tokens>,
}

impl ChatRequest {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Fails with verdict not-run when the body is malformed or its cost has no upper bound.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::caller::ChatRequest;
    /// let body = br#"{"model": "chat", "messages": [{"role": "user", "content": "Hi"}]}"#;
    /// let chat = ChatRequest::parse(body).unwrap();
    /// assert_eq!(chat.profile(), Some("chat"));
    /// assert_eq!(chat.cost_bound(100), body.len() as u64 + 2 * 16 + 100);
    /// assert!(ChatRequest::parse(b"[]").is_err());
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, RequestError> {
        let parsed: Value = serde_json::from_slice(body)
            .map_err(|err| bad_request(format!("the body is not JSON: {err}")))?;
        let Value::Object(map) = parsed else {
            return Err(bad_request("the body is not a JSON object"));
        };
        let Some(Value::Array(messages)) = map.get("messages") else {
            return Err(bad_request("\"messages\" is missing or not an array"));
        };
        if !messages.iter().all(has_text_content) {
            // The size of the body does not bound the tokens of an image or sound.
            return Err(bad_request("only messages with text content are accepted"));
        }
        check_types(&map)?;
        let overhead = MESSAGE_OVERHEAD_TOKENS * (messages.len() as Tokens + 1);
        // Each token of a byte-level tokenizer covers at least one byte of the text, and the text is
        // no longer than the body because escapes only add bytes. So the body's length in bytes
        // bounds the tokens of the prompt.
        let prompt = body.len() as Tokens + overhead;
        // Engines that know `best_of` generate that many choices and return the best `n`.
        let choices = [count_field(&map, "n")?, count_field(&map, "best_of")?];
        let choices = choices.into_iter().flatten().max().unwrap_or(1).max(1);
        let asked = match (
            count_field(&map, "max_tokens")?,
            count_field(&map, "max_completion_tokens")?,
        ) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Ok(Self {
            body: map,
            prompt_tokens: prompt,
            choices,
            max_output: asked,
        })
    }

    /// Profile named in the `model` field.
    ///
    /// # Examples
    ///
    /// ```
    /// let chat = cuminloom::caller::ChatRequest::parse(br#"{"messages": []}"#).unwrap();
    /// assert_eq!(chat.profile(), None);
    /// ```
    pub fn profile(&self) -> Option<&str> {
        self.body.get("model")?.as_str()
    }

    /// Whether the caller asked for a stream.
    ///
    /// # Examples
    ///
    /// ```
    /// let chat = cuminloom::caller::ChatRequest::parse(br#"{"messages": [], "stream": true}"#).unwrap();
    /// assert!(chat.is_stream());
    /// ```
    pub fn is_stream(&self) -> bool {
        self.body
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }

    /// Whether the caller asked for a chunk with the usage at the end of the stream.
    ///
    /// # Examples
    ///
    /// ```
    /// let body = br#"{"messages": [], "stream_options": {"include_usage": true}}"#;
    /// assert!(cuminloom::caller::ChatRequest::parse(body).unwrap().wants_usage());
    /// ```
    pub fn wants_usage(&self) -> bool {
        let options = self.body.get("stream_options");
        options
            .and_then(|o| o.get("include_usage"))
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }

    /// Upper bound of the tokens that the request can cost, when one choice is limited to `output`
    /// tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// let body = br#"{"messages": [], "n": 2, "max_tokens": 5}"#;
    /// let chat = cuminloom::caller::ChatRequest::parse(body).unwrap();
    /// assert_eq!(chat.cost_bound(100), body.len() as u64 + 16 + 2 * 5);
    /// ```
    pub fn cost_bound(&self, output: Tokens) -> Tokens {
        let each = self.output_limit(output);
        self.prompt_tokens
            .saturating_add(each.saturating_mul(self.choices))
    }

    /// Most tokens that one choice may generate: `limit`, or fewer if the caller asked for fewer.
    fn output_limit(&self, limit: Tokens) -> Tokens {
        self.max_output.map_or(limit, |asked| asked.min(limit))
    }

    /// Hash of the first message, for prefix affinity; 0 without messages.
    pub(crate) fn affinity(&self) -> u64 {
        let first = self
            .body
            .get("messages")
            .and_then(|messages| messages.get(0));
        first.map_or(0, |message| hash_u64(message.to_string().as_bytes()))
    }

    /// Body of the request to an engine, with the fields that the daemon sets.
    pub(crate) fn engine_body(&self, fields: &EngineFields<'_>) -> Arc<[u8]> {
        let mut body = self.body.clone();
        body.insert("model".into(), json!(fields.model));
        body.insert("max_tokens".into(), json!(self.output_limit(fields.output)));
        body.remove("max_completion_tokens");
        body.insert("cache_salt".into(), json!(fields.cache_salt));
        let urgent = fields.urgency == Urgency::Urgent;
        body.insert("priority".into(), json!(PRIORITIES[usize::from(!urgent)]));
        if self.is_stream() {
            body.insert("stream_options".into(), json!({ "include_usage": true }));
        } else {
            body.remove("stream_options");
        }
        serde_json::to_vec(&body)
            .expect("JSON values can be written")
            .into()
    }
}

/// Fields that the daemon sets in a request to an engine.
pub(crate) struct EngineFields<'a> {
    /// Model name at the engine.
    pub(crate) model: &'a str,
    /// Output limit of one choice, in tokens.
    pub(crate) output: Tokens,
    /// Salt of the engine's prefix cache, so that customers do not share cached prefixes.
    pub(crate) cache_salt: &'a str,
    /// How urgent the request is.
    pub(crate) urgency: Urgency,
}

/// First eight bytes of the SHA-256 of `bytes`.
pub(crate) fn hash_u64(bytes: &[u8]) -> u64 {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(bytes);
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

/// Error for a malformed body.
fn bad_request(detail: impl Into<Arc<str>>) -> RequestError {
    RequestError::not_run(Code::BadRequest, detail)
}

/// Reads an optional field with a whole number.
fn count_field(map: &Map<String, Value>, name: &str) -> Result<Option<Tokens>, RequestError> {
    match map.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) => Ok(Some(number)),
            None => Err(bad_request(format!(
                "{name:?} is not a whole number of at least 0"
            ))),
        },
    }
}

/// Refuses fields of the wrong type, which the engine could interpret differently from the daemon.
fn check_types(map: &Map<String, Value>) -> Result<(), RequestError> {
    type Check = fn(&Value) -> bool;
    let fields: [(&str, Check, &str); 3] = [
        ("model", Value::is_string, "a string"),
        ("stream", Value::is_boolean, "true or false"),
        ("stream_options", Value::is_object, "an object"),
    ];
    for (name, check, expected) in fields {
        let value = map.get(name).unwrap_or(&Value::Null);
        if !value.is_null() && !check(value) {
            return Err(bad_request(format!("{name:?} is not {expected}")));
        }
    }
    if map.contains_key("chat_template") {
        // A template can repeat the prompt, so that the body's length does not bound its tokens.
        return Err(bad_request("\"chat_template\" is not accepted"));
    }
    Ok(())
}

/// Whether a message is an object whose content is text, a list of text parts, or absent.
fn has_text_content(message: &Value) -> bool {
    let Value::Object(message) = message else {
        return false;
    };
    match message.get("content") {
        None | Some(Value::Null | Value::String(_)) => true,
        Some(Value::Array(parts)) => parts
            .iter()
            .all(|part| part.get("type").and_then(Value::as_str) == Some("text")),
        Some(_) => false,
    }
}
