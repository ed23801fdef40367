#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Claim of an idempotency key."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    #[doc = "Time of the claim, in seconds since the Unix epoch."]
    pub at: u64,
    #[doc = "Number of the claim within its owner."]
    pub nonce: u64,
    #[doc = "Recorded answer; absent while the request may still run."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub outcome: ::std::option::Option<Recorded>,
    #[doc = "Process that claimed the key."]
    pub owner: ::std::string::String,
    #[doc = "SHA-256 of the request, in hex."]
    pub print: ::std::string::String,
    #[doc = "Whether the claim was given up; the key may be claimed again."]
    #[serde(default)]
    pub released: bool,
}
#[doc = "Row of the table that claims an idempotency key."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Claims(pub ::serde_json::Value);
impl ::std::ops::Deref for Claims {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Claims> for ::serde_json::Value {
    fn from(value: Claims) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Claims {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Recorded answer of the target."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Recorded {
    #[doc = "Body in base64; absent when it was too large to record."]
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub body: ::std::option::Option<::std::string::String>,
    #[doc = "Content type."]
    pub kind: ::std::string::String,
    #[doc = "HTTP status."]
    pub status: u16,
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
