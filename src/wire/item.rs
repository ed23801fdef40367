#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Somebody whose services send requests."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    #[doc = "SHA-256 of each key, in hex."]
    pub keys: ::std::vec::Vec<::std::string::String>,
    #[doc = "Share of a full service relative to other customers."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub weight: ::std::num::NonZeroU32,
}
#[doc = "An item of the configuration."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub enum Item {
    #[serde(rename = "customer")]
    Customer(Customer),
    #[serde(rename = "profile")]
    Profile(Profile),
    #[serde(rename = "service")]
    Service(Service),
    #[serde(rename = "stop")]
    Stop(Stop),
}
impl ::std::convert::From<Customer> for Item {
    fn from(value: Customer) -> Self {
        Self::Customer(value)
    }
}
impl ::std::convert::From<Profile> for Item {
    fn from(value: Profile) -> Self {
        Self::Profile(value)
    }
}
impl ::std::convert::From<Service> for Item {
    fn from(value: Service) -> Self {
        Self::Service(value)
    }
}
impl ::std::convert::From<Stop> for Item {
    fn from(value: Stop) -> Self {
        Self::Stop(value)
    }
}
#[doc = "How a kind of work is treated."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    #[doc = "Budget that pays."]
    pub budget: ::std::string::String,
    #[doc = "Charge for a call to a plain service, in tokens."]
    #[serde(default)]
    pub charge: u64,
    #[doc = "Customers that may use the profile."]
    pub customers: ::std::vec::Vec<::std::string::String>,
    #[doc = "Longest time from arrival to the first byte of the answer, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub deadline_ms: u64,
    #[doc = "Output limit sent to an engine, in tokens."]
    #[serde(default = "defaults::default_u64::<u64, 1024>")]
    pub output: u64,
    #[doc = "Whether the work may be repeated."]
    pub repeat: ProfileRepeat,
    #[doc = "Service that runs the work."]
    pub service: ::std::string::String,
    #[doc = "How urgent the work is."]
    pub urgency: ProfileUrgency,
}
#[doc = "Whether the work may be repeated."]
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
pub enum ProfileRepeat {
    #[serde(rename = "idempotent")]
    Idempotent,
    #[serde(rename = "once")]
    Once,
}
impl ::std::fmt::Display for ProfileRepeat {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Idempotent => f.write_str("idempotent"),
            Self::Once => f.write_str("once"),
        }
    }
}
impl ::std::str::FromStr for ProfileRepeat {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "idempotent" => Ok(Self::Idempotent),
            "once" => Ok(Self::Once),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ProfileRepeat {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProfileRepeat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "How urgent the work is."]
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
pub enum ProfileUrgency {
    #[serde(rename = "urgent")]
    Urgent,
    #[serde(rename = "patient")]
    Patient,
}
impl ::std::fmt::Display for ProfileUrgency {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Urgent => f.write_str("urgent"),
            Self::Patient => f.write_str("patient"),
        }
    }
}
impl ::std::str::FromStr for ProfileUrgency {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "urgent" => Ok(Self::Urgent),
            "patient" => Ok(Self::Patient),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ProfileUrgency {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProfileUrgency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A named group of targets."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Service {
    #[doc = "What its targets speak."]
    pub kind: ServiceKind,
    #[doc = "Model name sent to engines."]
    #[serde(default = "defaults::service_model")]
    pub model: ::std::string::String,
    #[doc = "Its targets."]
    pub targets: ::std::vec::Vec<Target>,
}
#[doc = "What its targets speak."]
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
pub enum ServiceKind {
    #[serde(rename = "engine")]
    Engine,
    #[serde(rename = "plain")]
    Plain,
}
impl ::std::fmt::Display for ServiceKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Engine => f.write_str("engine"),
            Self::Plain => f.write_str("plain"),
        }
    }
}
impl ::std::str::FromStr for ServiceKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "An operator's plan to stop a VM or a target."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    #[doc = "Name of the VM or target."]
    pub name: ::std::string::String,
    #[doc = "Kind of thing to stop."]
    pub what: StopWhat,
}
#[doc = "Kind of thing to stop."]
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
pub enum StopWhat {
    #[serde(rename = "vm")]
    Vm,
    #[serde(rename = "target")]
    Target,
}
impl ::std::fmt::Display for StopWhat {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Vm => f.write_str("vm"),
            Self::Target => f.write_str("target"),
        }
    }
}
impl ::std::str::FromStr for StopWhat {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "vm" => Ok(Self::Vm),
            "target" => Ok(Self::Target),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for StopWhat {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for StopWhat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "One back end of a service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Target {
    #[doc = "IP address and port."]
    pub addr: ::std::string::String,
    #[doc = "Data centre in which it stands."]
    pub dc: ::std::string::String,
    #[doc = "Whether the target refuses orders with an old fencing number."]
    #[serde(default)]
    pub fences: bool,
    #[doc = "Name of the target."]
    pub id: ::std::string::String,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn service_model() -> ::std::string::String {
        "default".to_string()
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
