#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Value of an attribute."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct AnyValue {
    #[doc = "Text."]
    #[serde(rename = "stringValue")]
    pub string_value: ::std::string::String,
}
#[doc = "Body of a trace export."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ExportRequest {
    #[doc = "Spans by resource."]
    #[serde(rename = "resourceSpans")]
    pub resource_spans: ::std::vec::Vec<ResourceSpans>,
}
#[doc = "An attribute."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct KeyValue {
    #[doc = "Name."]
    pub key: ::std::string::String,
    pub value: AnyValue,
}
#[doc = "What produced the spans."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Resource {
    #[doc = "Attributes."]
    pub attributes: ::std::vec::Vec<KeyValue>,
}
#[doc = "Spans of one resource."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ResourceSpans {
    pub resource: Resource,
    #[doc = "Spans by scope."]
    #[serde(rename = "scopeSpans")]
    pub scope_spans: ::std::vec::Vec<ScopeSpans>,
}
#[doc = "Name of the instrumentation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Scope {
    #[doc = "Name."]
    pub name: ::std::string::String,
}
#[doc = "Spans of one scope."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ScopeSpans {
    pub scope: Scope,
    #[doc = "The spans."]
    pub spans: ::std::vec::Vec<Span>,
}
#[doc = "One hop of a request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Span {
    #[doc = "Attributes."]
    pub attributes: ::std::vec::Vec<KeyValue>,
    #[doc = "End, in ns since the Unix epoch, as decimal text."]
    #[serde(rename = "endTimeUnixNano")]
    pub end_time_unix_nano: ::std::string::String,
    #[doc = "1 internal, 2 server, 3 client."]
    pub kind: u8,
    #[doc = "Name of the hop."]
    pub name: ::std::string::String,
    #[doc = "Span id of the caller in hex, empty for a root."]
    #[serde(rename = "parentSpanId", default)]
    pub parent_span_id: ::std::string::String,
    #[doc = "Span id in hex."]
    #[serde(rename = "spanId")]
    pub span_id: ::std::string::String,
    #[doc = "Start, in ns since the Unix epoch, as decimal text."]
    #[serde(rename = "startTimeUnixNano")]
    pub start_time_unix_nano: ::std::string::String,
    #[doc = "Trace id in hex."]
    #[serde(rename = "traceId")]
    pub trace_id: ::std::string::String,
}
#[doc = "The part of the OTLP/HTTP JSON trace export that cuminloom sends."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Traces(pub ::serde_json::Value);
impl ::std::ops::Deref for Traces {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Traces> for ::serde_json::Value {
    fn from(value: Traces) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Traces {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
