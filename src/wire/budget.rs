#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Content of a budget row."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    #[doc = "Customer that prepaid the budget."]
    pub customer: ::std::string::String,
    #[doc = "Largest part of the free tokens that one draw takes."]
    #[serde(default = "defaults::budget_fraction")]
    pub fraction: f64,
    #[doc = "Cumulative prepaid tokens."]
    pub limit: u64,
    #[doc = "Tokens that removed shares received from other shares."]
    #[serde(default)]
    pub received: u64,
    #[doc = "Seconds of recent demand that a share covers."]
    #[serde(default = "defaults::default_u64::<u32, 3600>")]
    pub reserve: u32,
    #[doc = "Number of changes of the limit, from 1."]
    pub revision: u64,
    #[doc = "Tokens that removed shares sent to other shares."]
    #[serde(default)]
    pub sent: u64,
    #[doc = "Billed tokens of removed shares."]
    #[serde(default)]
    pub settled: u64,
    #[doc = "Shares by incarnation."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: HashMap::is_empty"
    )]
    pub shares: ::std::collections::HashMap<::std::string::String, Share>,
}
#[doc = "Cumulative figures of one incarnation, in tokens."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Share {
    #[doc = "Spent according to committed bills."]
    #[serde(default)]
    pub billed: u64,
    #[doc = "Taken from free."]
    #[serde(default)]
    pub drawn: u64,
    #[doc = "Transferred from other shares."]
    #[serde(default)]
    pub received: u64,
    #[doc = "Given back to free."]
    #[serde(default)]
    pub returned: u64,
    #[doc = "Whether the incarnation is sealed."]
    #[serde(default)]
    pub sealed: bool,
    #[doc = "Transferred to other shares."]
    #[serde(default)]
    pub sent: u64,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn budget_fraction() -> f64 {
        0.125_f64
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
