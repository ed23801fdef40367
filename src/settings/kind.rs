//! Kinds of values in the settings: how each is read and checked.

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration, //
};

use jsonc_parser::ast::Value;
use log::LevelFilter;

use super::read::ValueKind;
use crate::config::is_valid_name;

/// Placeholder for an invalid address until the errors are reported.
pub(super) const NO_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Value of a string.
fn string<'a>(value: &'a Value<'_>) -> Option<&'a str> {
    value.as_string_lit().map(|lit| lit.value.as_ref())
}

/// Value of a whole number.
fn integer(value: &Value<'_>) -> Option<u64> {
    value.as_number_lit()?.value.parse().ok()
}

/// Value of a whole number from `least` to `most`.
fn integer_in(value: &Value<'_>, least: u64, most: u64) -> Option<u64> {
    integer(value).filter(|number| (least..=most).contains(number))
}

/// Value of a string that is a valid name.
fn name(value: &Value<'_>) -> Option<Arc<str>> {
    string(value)
        .filter(|text| is_valid_name(text))
        .map(Into::into)
}

/// Name of a daemon, VM, data centre or operator.
pub(super) const NAME: ValueKind<Arc<str>> = ValueKind {
    expected: "a name of 1 to 64 letters, digits, \"-\", \"_\" or \".\"",
    private: false,
    read: name,
};

/// Address to listen on; port 0 lets the system choose.
pub(super) const LISTEN_ADDR: ValueKind<SocketAddr> = ValueKind {
    expected: "an IP address and port, such as \"10.0.0.7:8080\"",
    private: false,
    read: |value| string(value)?.parse().ok(),
};

/// Address to connect to.
pub(super) const REMOTE_ADDR: ValueKind<SocketAddr> = ValueKind {
    expected: "an IP address and a port above 0, such as \"10.0.0.7:8080\"",
    private: false,
    read: |value| {
        let addr: SocketAddr = string(value)?.parse().ok()?;
        (addr.port() != 0 && !addr.ip().is_unspecified()).then_some(addr)
    },
};

/// Size in bytes, from 1 KiB to 1 GiB.
pub(super) const BYTES: ValueKind<usize> = ValueKind {
    expected: "a whole number of bytes from 1024 to 1073741824",
    private: false,
    read: |value| usize::try_from(integer_in(value, 1 << 10, 1 << 30)?).ok(),
};

/// Duration in milliseconds, at most an hour.
pub(super) const MILLIS: ValueKind<Duration> = ValueKind {
    expected: "a whole number of milliseconds from 1 to 3600000",
    private: false,
    read: |value| integer_in(value, 1, 3_600_000).map(Duration::from_millis),
};

/// Duration in seconds, at most a week.
pub(super) const SECONDS: ValueKind<Duration> = ValueKind {
    expected: "a whole number of seconds from 1 to 604800",
    private: false,
    read: |value| integer_in(value, 1, 604_800).map(Duration::from_secs),
};

/// Number of things, at least 1.
pub(super) const COUNT: ValueKind<usize> = ValueKind {
    expected: "a whole number from 1 to 1000000",
    private: false,
    read: |value| usize::try_from(integer_in(value, 1, 1_000_000)?).ok(),
};

/// Value of a number.
fn number(value: &Value<'_>) -> Option<f64> {
    value.as_number_lit()?.value.parse().ok()
}

/// Fraction above 0 and at most 1.
pub(super) const FRACTION: ValueKind<f64> = ValueKind {
    expected: "a number above 0 and at most 1",
    private: false,
    read: |value| number(value).filter(|number| *number > 0.0 && *number <= 1.0),
};

/// Fraction from 0 to 1.
pub(super) const RATIO: ValueKind<f64> = ValueKind {
    expected: "a number from 0 to 1",
    private: false,
    read: |value| number(value).filter(|number| (0.0..=1.0).contains(number)),
};

/// Fraction from 0 to below 1.
pub(super) const HEADROOM: ValueKind<f64> = ValueKind {
    expected: "a number from 0 to below 1, so that patient work can run",
    private: false,
    read: |value| number(value).filter(|number| (0.0..1.0).contains(number)),
};

/// Boolean.
pub(super) const BOOLEAN: ValueKind<bool> = ValueKind {
    expected: "true or false",
    private: false,
    read: |value| value.as_boolean_lit().map(|lit| lit.value),
};

/// Log level.
pub(super) const LOG_LEVEL: ValueKind<LevelFilter> = ValueKind {
    expected: "\"off\", \"error\", \"warn\", \"info\", \"debug\" or \"trace\"",
    private: false,
    read: |value| string(value)?.parse().ok(),
};

/// SHA-256 in hex. An invalid value is not printed, because it may be a token in place of its hash.
pub(super) const SHA256_HEX: ValueKind<[u8; 32]> = ValueKind {
    expected: "the SHA-256 of the token, 64 hex digits",
    private: true,
    read: |value| {
        let mut hash = [0; 32];
        hex::decode_to_slice(string(value)?, &mut hash).ok()?;
        Some(hash)
    },
};

/// Path of a file with a secret.
pub(super) const SECRET_PATH: ValueKind<Arc<str>> = ValueKind {
    expected: "the path of a file",
    private: true,
    read: |value| {
        string(value)
            .filter(|text| !text.is_empty())
            .map(Into::into)
    },
};

/// Name of an environment variable with a secret.
pub(super) const ENV_NAME: ValueKind<Arc<str>> = ValueKind {
    expected: "the name of an environment variable, of letters, digits and \"_\"",
    private: true,
    read: |value| {
        let text = string(value)?;
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '_';
        (!text.is_empty() && text.chars().all(plain)).then(|| text.into())
    },
};
