#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Body of an error towards a caller."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}
#[doc = "What went wrong."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ErrorDetail {
    #[doc = "Machine-readable reason."]
    pub code: ::std::string::String,
    #[doc = "Explanation for people."]
    pub message: ::std::string::String,
    #[doc = "Class of error in the chat-completions dialect."]
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
    #[doc = "Whether the request may have run."]
    pub verdict: ::std::string::String,
}
#[doc = "Load report of a target."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Load {
    #[doc = "Requests that can run at once."]
    pub capacity: u32,
    #[doc = "Whether the target takes no new work."]
    #[serde(default)]
    pub leaving: bool,
    #[doc = "Requests that run."]
    pub running: u32,
    #[doc = "Requests that wait in the target."]
    pub waiting: u32,
}
#[doc = "An order to an engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Order {
    #[doc = "Name of the model, adapter or role."]
    #[serde(default)]
    pub argument: ::std::string::String,
    #[doc = "Fencing number; an engine that checks it refuses a lower one than it has seen."]
    pub fencing: u64,
    #[doc = "What to do."]
    pub order: OrderOrder,
}
#[doc = "What to do."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum OrderOrder {
    #[serde(rename = "load-model")]
    LoadModel,
    #[serde(rename = "load-adapter")]
    LoadAdapter,
    #[serde(rename = "change-role")]
    ChangeRole,
}
impl ::std::fmt::Display for OrderOrder {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::LoadModel => f.write_str("load-model"),
            Self::LoadAdapter => f.write_str("load-adapter"),
            Self::ChangeRole => f.write_str("change-role"),
        }
    }
}
impl ::std::str::FromStr for OrderOrder {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "load-model" => Ok(Self::LoadModel),
            "load-adapter" => Ok(Self::LoadAdapter),
            "change-role" => Ok(Self::ChangeRole),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OrderOrder {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrderOrder {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Messages exchanged with targets."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Target(pub ::serde_json::Value);
impl ::std::ops::Deref for Target {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Target> for ::serde_json::Value {
    fn from(value: Target) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Target {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Tokens used by a request, in the chat-completions dialect."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Usage {
    #[doc = "Tokens generated."]
    pub completion_tokens: u64,
    #[doc = "Tokens of the prompt."]
    pub prompt_tokens: u64,
    #[doc = "Sum of both."]
    pub total_tokens: u64,
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
