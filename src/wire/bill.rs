#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Figures of one share at the seal, in tokens, cumulative over the incarnation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Account {
    #[doc = "Tokens of all bills that count after the seal."]
    pub billed: u64,
    #[doc = "Budget of the share."]
    pub budget: ::std::string::String,
    #[doc = "Issued tokens."]
    pub issued: u64,
    #[doc = "Tokens logged as sent to other daemons."]
    pub sent: u64,
}
#[doc = "Bills that are committed together."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Batch {
    #[doc = "The bills in the order in which the requests finished."]
    pub bills: ::std::vec::Vec<Bill>,
}
#[doc = "Charge for one finished request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Bill {
    #[doc = "Budget that pays."]
    pub budget: ::std::string::String,
    #[doc = "Customer that sent the request."]
    pub customer: ::std::string::String,
    #[doc = "Profile of the request."]
    pub profile: ::std::string::String,
    #[doc = "Number of the request in its incarnation."]
    pub seq: u64,
    #[doc = "Tokens charged."]
    pub tokens: u64,
    pub verdict: Verdict,
}
#[doc = "Bill objects and the ledger row of an incarnation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct BillObjects(pub ::serde_json::Value);
impl ::std::ops::Deref for BillObjects {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<BillObjects> for ::serde_json::Value {
    fn from(value: BillObjects) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for BillObjects {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Row that says which bill objects count."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Ledger {
    #[doc = "Number of regular batches that count."]
    pub batches: u64,
    #[doc = "Number of late batches that count."]
    pub late: u64,
}
#[doc = "Final account of a sealed incarnation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Seal {
    #[doc = "Figures of each share; without a record only what is billed."]
    pub accounts: ::std::vec::Vec<Account>,
    #[doc = "Batches that count."]
    pub batches: u64,
    #[doc = "Uncommitted bills, and open requests charged at their bound."]
    pub bills: ::std::vec::Vec<Bill>,
    #[doc = "Whether the incarnation had issued its whole shares to itself."]
    pub detached: bool,
    #[doc = "Whether the sealer had a record of the incarnation."]
    pub known: bool,
}
#[doc = "Whether the request ran."]
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
pub enum Verdict {
    #[serde(rename = "not-run")]
    NotRun,
    #[serde(rename = "may-have-run")]
    MayHaveRun,
    #[serde(rename = "ran")]
    Ran,
}
impl ::std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not-run"),
            Self::MayHaveRun => f.write_str("may-have-run"),
            Self::Ran => f.write_str("ran"),
        }
    }
}
impl ::std::str::FromStr for Verdict {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
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
