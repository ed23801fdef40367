#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Bodies of the administration API."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Admin(pub ::serde_json::Value);
impl ::std::ops::Deref for Admin {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Admin> for ::serde_json::Value {
    fn from(value: Admin) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Admin {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Audit of the budgets."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Audit {
    #[doc = "The budgets."]
    pub budgets: ::std::vec::Vec<Audited>,
    #[doc = "Whether no budget has a discrepancy."]
    pub clean: bool,
}
#[doc = "Audit of one budget."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Audited {
    #[doc = "Spent according to committed bills."]
    pub billed: i64,
    #[doc = "Name of the budget."]
    pub budget: ::std::string::String,
    #[doc = "What does not add up."]
    pub discrepancies: ::std::vec::Vec<::std::string::String>,
    #[doc = "Not drawn."]
    pub free: i64,
    #[doc = "Outstanding at live shares and in transit."]
    pub held: i64,
    #[doc = "Outstanding at sealed shares."]
    pub orphaned: i64,
}
#[doc = "A budget and where its tokens are."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Budget {
    #[doc = "Spent according to committed bills."]
    pub billed: i64,
    #[doc = "Customer that prepaid it."]
    pub customer: ::std::string::String,
    #[doc = "Largest part of the free tokens that one draw takes."]
    pub fraction: f64,
    #[doc = "Not drawn."]
    pub free: i64,
    #[doc = "Outstanding at live shares and in transit."]
    pub held: i64,
    #[doc = "Name of the budget."]
    pub id: ::std::string::String,
    #[doc = "What can still be spent in total; above the limit while a lowered limit is pending."]
    pub in_force: u64,
    #[doc = "Prepaid tokens, cumulative."]
    pub limit: u64,
    #[doc = "Outstanding at sealed shares."]
    pub orphaned: i64,
    #[doc = "Tokens that shares must return before a lowered limit is in force."]
    pub pending: u64,
    #[doc = "Seconds of demand that a share covers."]
    pub reserve: u32,
    #[doc = "Number of operators' changes; the ETag."]
    pub revision: u64,
    #[doc = "The shares."]
    pub shares: ::std::vec::Vec<Share>,
    #[doc = "Sent and not received; part of held."]
    pub transit: i64,
}
#[doc = "A page of budgets, without their shares."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Budgets {
    #[doc = "The budgets, by name."]
    pub budgets: ::std::vec::Vec<Budget>,
    #[doc = "Name to pass as `after` for the next page."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub next: ::std::option::Option<::std::string::String>,
}
#[doc = "A daemon of the fleet."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Daemon {
    #[doc = "Name of the daemon."]
    pub daemon: ::std::string::String,
    #[doc = "Its data centre."]
    pub dc: ::std::string::String,
    #[doc = "Whether it is heard from."]
    pub reachable: bool,
    #[doc = "Last configuration version that it confirmed."]
    pub version: u64,
}
#[doc = "An accepted edit of an item."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Edited {
    #[doc = "Kind of the item."]
    pub kind: ::std::string::String,
    #[doc = "Name of the item."]
    pub name: ::std::string::String,
    #[doc = "Operator who asked."]
    pub operator: ::std::string::String,
    #[doc = "Seconds since the Unix epoch."]
    pub time: u64,
    #[doc = "The item; null when it was deleted."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::serde_json::Value>,
    #[doc = "Version of the configuration that the edit made."]
    pub version: u64,
}
#[doc = "Edits, and the version in force at the daemon that answers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Edits {
    #[doc = "The edits."]
    pub edits: ::std::vec::Vec<Edited>,
    #[doc = "Version in force."]
    pub version: u64,
}
#[doc = "Body of a refused or failed request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Failure {
    pub error: Problem,
}
#[doc = "A faulty field."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Field {
    #[doc = "What is wrong."]
    pub message: ::std::string::String,
    #[doc = "Path of the field."]
    pub path: ::std::string::String,
}
#[doc = "Where a version is in force."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct InForce {
    #[doc = "Whether all known daemons have confirmed it."]
    pub in_force: bool,
    #[doc = "Daemons that have not."]
    pub unconfirmed: ::std::vec::Vec<::std::string::String>,
    #[doc = "The version asked for."]
    pub version: u64,
}
#[doc = "A lower limit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Lower {
    #[doc = "Wanted limit in tokens."]
    pub limit: u64,
}
#[doc = "A budget to create."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct NewBudget {
    #[doc = "Customer that prepaid it."]
    pub customer: ::std::string::String,
    #[doc = "Largest part of the free tokens that one draw takes."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub fraction: ::std::option::Option<f64>,
    #[doc = "Prepaid tokens."]
    pub limit: u64,
    #[doc = "Seconds of demand that a share covers."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub reserve: ::std::option::Option<u32>,
}
#[doc = "What became of an order."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Ordered {
    #[doc = "Fencing number of the order."]
    pub fencing: u64,
    #[doc = "What the target did; uncertain when its answer was lost."]
    pub outcome: OrderedOutcome,
    #[doc = "Name of the target."]
    pub target: ::std::string::String,
}
#[doc = "What the target did; uncertain when its answer was lost."]
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
pub enum OrderedOutcome {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stale")]
    Stale,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "uncertain")]
    Uncertain,
}
impl ::std::fmt::Display for OrderedOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Done => f.write_str("done"),
            Self::Stale => f.write_str("stale"),
            Self::Refused => f.write_str("refused"),
            Self::Uncertain => f.write_str("uncertain"),
        }
    }
}
impl ::std::str::FromStr for OrderedOutcome {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "done" => Ok(Self::Done),
            "stale" => Ok(Self::Stale),
            "refused" => Ok(Self::Refused),
            "uncertain" => Ok(Self::Uncertain),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OrderedOutcome {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrderedOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "An order to a target."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Ordering {
    #[doc = "Name of the model, adapter or role."]
    pub argument: ::std::string::String,
    #[doc = "What the target does."]
    pub order: OrderingOrder,
}
#[doc = "What the target does."]
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
pub enum OrderingOrder {
    #[serde(rename = "load-model")]
    LoadModel,
    #[serde(rename = "load-adapter")]
    LoadAdapter,
    #[serde(rename = "change-role")]
    ChangeRole,
}
impl ::std::fmt::Display for OrderingOrder {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::LoadModel => f.write_str("load-model"),
            Self::LoadAdapter => f.write_str("load-adapter"),
            Self::ChangeRole => f.write_str("change-role"),
        }
    }
}
impl ::std::str::FromStr for OrderingOrder {
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
impl ::std::convert::TryFrom<&str> for OrderingOrder {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrderingOrder {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Why a request was refused or failed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Problem {
    #[doc = "Machine-readable reason."]
    pub code: ::std::string::String,
    #[doc = "The edit that was accepted instead."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub conflict: ::std::option::Option<Edited>,
    #[doc = "Faulty fields."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub fields: ::std::vec::Vec<Field>,
    #[doc = "Explanation for people."]
    pub message: ::std::string::String,
    #[doc = "Whether the request may have taken effect."]
    pub verdict: ::std::string::String,
}
#[doc = "Orphaned tokens to release: of a sealed share, or those in transit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Settle {
    #[doc = "Incarnation of the sealed share; without it, tokens in transit are meant."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub incarnation: ::std::option::Option<::std::string::String>,
    #[doc = "Tokens to release; all of the share when missing."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub tokens: ::std::option::Option<u64>,
}
#[doc = "Cumulative figures of one incarnation, in tokens."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Share {
    #[doc = "Spent according to committed bills."]
    pub billed: u64,
    #[doc = "Taken from free."]
    pub drawn: u64,
    #[doc = "Start of the daemon that holds the share."]
    pub incarnation: ::std::string::String,
    #[doc = "Held by the share, or orphaned when it is sealed."]
    pub outstanding: u64,
    #[doc = "Transferred from other shares."]
    pub received: u64,
    #[doc = "Given back to free."]
    pub returned: u64,
    #[doc = "Whether the incarnation is sealed."]
    pub sealed: bool,
    #[doc = "Transferred to other shares."]
    pub sent: u64,
}
#[doc = "Changed sizing of shares."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Sizing {
    #[doc = "Largest part of the free tokens that one draw takes."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub fraction: ::std::option::Option<f64>,
    #[doc = "Seconds of demand that a share covers."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub reserve: ::std::option::Option<u32>,
}
#[doc = "State of the fleet as one daemon sees it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Status {
    #[doc = "The daemon that answers."]
    pub daemon: ::std::string::String,
    #[doc = "All known daemons."]
    pub daemons: ::std::vec::Vec<Daemon>,
    #[doc = "Its figures by name."]
    pub figures: ::std::collections::HashMap<::std::string::String, f64>,
    #[doc = "Its mode."]
    pub mode: ::std::string::String,
    #[doc = "Daemons that have not confirmed this version."]
    pub unconfirmed: ::std::vec::Vec<::std::string::String>,
    #[doc = "Configuration version in force at it."]
    pub version: u64,
}
#[doc = "Tokens to add to a limit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct TopUp {
    #[doc = "Prepaid tokens to add."]
    pub tokens: u64,
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
