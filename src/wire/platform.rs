#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "What a commit does to a row."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub enum Action {
    #[serde(rename = "delete")]
    Delete,
    #[serde(rename = "check")]
    Check,
    #[serde(rename = "put")]
    Put(::serde_json::Value),
}
impl ::std::convert::From<::serde_json::Value> for Action {
    fn from(value: ::serde_json::Value) -> Self {
        Self::Put(value)
    }
}
#[doc = "Answer to a commit that was applied."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Applied {
    #[doc = "New version of each row, 0 for a deleted one."]
    pub versions: ::std::vec::Vec<u64>,
}
#[doc = "Writes that are applied together or not at all."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Commit {
    #[doc = "The writes."]
    pub writes: ::std::vec::Vec<Write>,
}
#[doc = "Expected state of a row before a commit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub enum Expect {
    #[serde(rename = "absent")]
    Absent,
    #[serde(rename = "any")]
    Any,
    #[serde(rename = "version")]
    Version(u64),
}
impl ::std::convert::From<u64> for Expect {
    fn from(value: u64) -> Self {
        Self::Version(value)
    }
}
#[doc = "Messages of the platform's table service and VM list."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Platform(pub ::serde_json::Value);
impl ::std::ops::Deref for Platform {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Platform> for ::serde_json::Value {
    fn from(value: Platform) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Platform {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Answer to a commit whose expectation did not hold."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Refused {
    #[doc = "Key of the first row whose expectation did not hold."]
    pub key: ::std::string::String,
    #[doc = "The row as it is; absent when there is none."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub row: ::std::option::Option<Row>,
}
#[doc = "A table row."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Row {
    #[doc = "Key of the row."]
    pub key: ::std::string::String,
    #[doc = "Content of the row."]
    pub value: ::serde_json::Value,
    #[doc = "Version of the row, from 1, raised by each write."]
    pub version: u64,
}
#[doc = "A page of rows in the order of their keys."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Rows {
    #[doc = "The rows."]
    pub rows: ::std::vec::Vec<Row>,
}
#[doc = "An entry of the list of VMs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Vm {
    #[doc = "Data centre in which it stands."]
    pub dc: ::std::string::String,
    #[doc = "Name of the VM."]
    pub name: ::std::string::String,
    #[doc = "Whether it is about to leave."]
    pub state: VmState,
}
#[doc = "Whether it is about to leave."]
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
pub enum VmState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for VmState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for VmState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The list of live and leaving VMs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Vms {
    #[doc = "The VMs."]
    pub vms: ::std::vec::Vec<Vm>,
}
#[doc = "One write of a commit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Write {
    pub action: Action,
    pub expect: Expect,
    #[doc = "Key of the row."]
    pub key: ::std::string::String,
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
