//! The kinds of values in the settings.

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

use super::read::Kind;
use crate::config::is_valid_name;

/// Stands in for a faulty address until the faults are reported.
pub(super) const NO_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

fn text<'a>(value: &'a Value<'_>) -> Option<&'a str> {
    value.as_string_lit().map(|lit| lit.value.as_ref())
}

fn whole(value: &Value<'_>) -> Option<u64> {
    value.as_number_lit()?.value.parse().ok()
}

fn whole_in(value: &Value<'_>, least: u64, most: u64) -> Option<u64> {
    whole(value).filter(|number| (least..=most).contains(number))
}

fn name(value: &Value<'_>) -> Option<Arc<str>> {
    text(value)
        .filter(|text| is_valid_name(text))
        .map(Into::into)
}

pub(super) const NAME: Kind<Arc<str>> = Kind {
    expected: "a name of 1 to 64 letters, digits, \"-\", \"_\" or \".\"",
    private: false,
    read: name,
};

pub(super) const LISTEN: Kind<SocketAddr> = Kind {
    expected: "an IP address and port, such as \"10.0.0.7:8080\"",
    private: false,
    read: |value| text(value)?.parse().ok(),
};

pub(super) const REMOTE: Kind<SocketAddr> = Kind {
    expected: "an IP address and a port above 0, such as \"10.0.0.7:8080\"",
    private: false,
    read: |value| {
        let addr: SocketAddr = text(value)?.parse().ok()?;
        (addr.port() != 0 && !addr.ip().is_unspecified()).then_some(addr)
    },
};

pub(super) const BYTES: Kind<usize> = Kind {
    expected: "a whole number of bytes from 1024 to 1073741824",
    private: false,
    read: |value| usize::try_from(whole_in(value, 1 << 10, 1 << 30)?).ok(),
};

pub(super) const MILLIS: Kind<Duration> = Kind {
    expected: "a whole number of milliseconds from 1 to 3600000",
    private: false,
    read: |value| whole_in(value, 1, 3_600_000).map(Duration::from_millis),
};

pub(super) const SECONDS: Kind<Duration> = Kind {
    expected: "a whole number of seconds from 1 to 604800",
    private: false,
    read: |value| whole_in(value, 1, 604_800).map(Duration::from_secs),
};

pub(super) const COUNT: Kind<usize> = Kind {
    expected: "a whole number from 1 to 1000000",
    private: false,
    read: |value| usize::try_from(whole_in(value, 1, 1_000_000)?).ok(),
};

fn number(value: &Value<'_>) -> Option<f64> {
    value.as_number_lit()?.value.parse().ok()
}

pub(super) const FRACTION: Kind<f64> = Kind {
    expected: "a number above 0 and at most 1",
    private: false,
    read: |value| number(value).filter(|number| *number > 0.0 && *number <= 1.0),
};

pub(super) const SHARE: Kind<f64> = Kind {
    expected: "a number from 0 to 1",
    private: false,
    read: |value| number(value).filter(|number| (0.0..=1.0).contains(number)),
};

pub(super) const HEADROOM: Kind<f64> = Kind {
    expected: "a number from 0 to below 1, so that patient work can run",
    private: false,
    read: |value| number(value).filter(|number| (0.0..1.0).contains(number)),
};

pub(super) const SWITCH: Kind<bool> = Kind {
    expected: "true or false",
    private: false,
    read: |value| value.as_boolean_lit().map(|lit| lit.value),
};

pub(super) const LEVEL: Kind<LevelFilter> = Kind {
    expected: "\"off\", \"error\", \"warn\", \"info\", \"debug\" or \"trace\"",
    private: false,
    read: |value| text(value)?.parse().ok(),
};

// A token pasted in place of its hash must not be printed.
pub(super) const HASH: Kind<[u8; 32]> = Kind {
    expected: "the SHA-256 of the token, 64 hex digits",
    private: true,
    read: |value| {
        let mut hash = [0; 32];
        hex::decode_to_slice(text(value)?, &mut hash).ok()?;
        Some(hash)
    },
};

pub(super) const PATH: Kind<Arc<str>> = Kind {
    expected: "the path of a file",
    private: true,
    read: |value| text(value).filter(|text| !text.is_empty()).map(Into::into),
};

pub(super) const VARIABLE: Kind<Arc<str>> = Kind {
    expected: "the name of an environment variable, of letters, digits and \"_\"",
    private: true,
    read: |value| {
        let text = text(value)?;
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '_';
        (!text.is_empty() && text.chars().all(plain)).then(|| text.into())
    },
};
