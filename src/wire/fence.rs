#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Row of one incarnation; every write of the incarnation checks its version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct FenceRow {
    #[doc = "Daemon of the incarnation."]
    pub daemon: ::std::string::String,
    #[doc = "Data centre of the VM."]
    pub dc: ::std::string::String,
    #[doc = "Number of the witness assignment."]
    pub epoch: u64,
    #[doc = "Present after the seal."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub sealed: ::std::option::Option<SealedBy>,
    #[doc = "Whether a planned stop returns and removes the shares."]
    #[serde(default)]
    pub stopping: bool,
    #[doc = "VM on which it runs."]
    pub vm: ::std::string::String,
    #[doc = "Incarnation of the witness; absent when there is none."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub witness: ::std::option::Option<::std::string::String>,
}
#[doc = "Who sealed an incarnation, and the object that accounts for its requests."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct SealedBy {
    #[doc = "Whether the incarnation was attached, so that the absence of its VM proves that its orphans cannot be spent."]
    #[serde(default)]
    pub attached: bool,
    #[doc = "Incarnation that committed the seal."]
    pub by: ::std::string::String,
    #[doc = "Name of the seal object."]
    pub object: ::std::string::String,
    #[doc = "Whether the orphans have been returned because the VM is absent."]
    #[serde(default)]
    pub released: bool,
    #[doc = "Whether every budget row of the incarnation has been settled."]
    pub settled: bool,
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
