//! The fleet secret, which must not be printed.

use std::{
    fmt,
    sync::Arc, //
};

use error_stack::Report;

use super::SettingError;

/// Shortest accepted secret.
const MIN_SECRET_BYTES: usize = 16;

/// Where to read the fleet secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SecretSource {
    /// File at this path.
    File(Arc<str>),
    /// Environment variable of this name.
    Variable(Arc<str>),
}

/// A secret; `Debug` does not print it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Returns the bytes of the secret.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::settings::Secret;
    /// let secret = Secret::from(&b"0123456789abcdef"[..]);
    /// assert_eq!(secret.bytes().len(), 16);
    /// assert_eq!(format!("{secret:?}"), "Secret(..)");
    /// ```
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<&[u8]> for Secret {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl SecretSource {
    /// Reads the secret, without white space at its ends.
    ///
    /// # Errors
    ///
    /// Fails when the file or variable is missing or holds fewer than 16 bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::settings::SecretSource;
    /// assert!(SecretSource::Variable("NO_SUCH_VARIABLE".into()).load().is_err());
    /// ```
    pub fn load(&self) -> Result<Secret, Report<SettingError>> {
        let (path, place, text) = match self {
            SecretSource::File(path) => (
                "peer.secret.file",
                format!("the file {path}"),
                std::fs::read_to_string(&**path).map_err(|err| err.to_string()),
            ),
            SecretSource::Variable(name) => (
                "peer.secret.env",
                format!("the variable {name}"),
                // The error's own text would print a value that is not UTF-8.
                std::env::var(&**name).map_err(|_| "not set or not UTF-8".into()),
            ),
        };
        let found = match text {
            Ok(text) if text.trim().len() >= MIN_SECRET_BYTES => {
                return Ok(Secret::from(text.trim().as_bytes()));
            }
            Ok(text) => format!("{place}: {} bytes", text.trim().len()),
            Err(err) => format!("{place}: {err}"),
        };
        Err(Report::new(SettingError {
            path: path.into(),
            line: 0,
            found,
            expected: format!("a secret of at least {MIN_SECRET_BYTES} bytes"),
        }))
    }
}
