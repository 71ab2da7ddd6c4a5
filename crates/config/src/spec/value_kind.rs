//! Types of values, and the validation of a value as text.

use std::fmt;
use std::net::SocketAddr;

/// Longest accepted name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// Type and range of the values of a key.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ValueKind {
    /// A whole number from the first to the second bound, both included. Digits may be grouped with
    /// `_`.
    Integer(u64, u64),
    /// A decimal number from the first to the second bound, both included. Digits may be grouped
    /// with `_`.
    Number(f64, f64),
    /// `yes` or `no`.
    YesNo,
    /// One of the listed words.
    OneOf(&'static [&'static str]),
    /// IP address and port from 1 to 65535.
    Address,
    /// IP address and port to listen on. With port 0 the operating system chooses a free port.
    ListenAddress,
    /// Addresses separated by commas, at least one.
    Addresses,
    /// Addresses separated by commas. The list may be empty.
    AddressesOrNone,
    /// Up to 64 ASCII letters, digits, `.`, `_` and `-`, at least one.
    Name,
    /// Names separated by commas, at least one.
    Names,
    /// Names separated by commas. The list may be empty.
    NamesOrNone,
    /// Pairs `IP:port@failure_domain` separated by commas, at least one.
    ServiceServers,
    /// Pairs `METHOD /path` separated by commas. The list may be empty. A path may end with `*`,
    /// and the method may be `*`.
    PathRules,
    /// blake3 hashes as 64 hexadecimal digits, separated by commas, at least one.
    KeyHashes,
    /// `none`, `stderr` or the absolute path of a file.
    Output,
}

impl ValueKind {
    /// Checks a value.
    ///
    /// # Errors
    ///
    /// The reason why the value is not accepted, for a fault message.
    pub(crate) fn check(self, value: &str) -> Result<(), String> {
        match self {
            Self::Integer(min, max) => check_integer(value, min, max),
            Self::Number(min, max) => check_number(value, min, max),
            Self::YesNo => check_word(value, &["yes", "no"]),
            Self::OneOf(words) => check_word(value, words),
            Self::Address => check_address(value, false),
            Self::ListenAddress => check_address(value, true),
            Self::Addresses => check_list(value, true, |item| check_address(item, false)),
            Self::AddressesOrNone => check_list(value, false, |item| check_address(item, false)),
            Self::Name => check_name(value),
            Self::Names => check_list(value, true, check_name),
            Self::NamesOrNone => check_list(value, false, check_name),
            Self::ServiceServers => {
                check_list(value, true, |item| parse_service_server(item).map(|_| ()))
            }
            Self::PathRules => check_list(value, false, check_path_rule),
            Self::KeyHashes => check_list(value, true, check_hash),
            Self::Output => check_output(value),
        }
    }
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer(min, max) => write!(f, "whole number {min} to {max}"),
            Self::Number(min, max) => write!(f, "number {min} to {max}"),
            Self::YesNo => f.write_str("`yes` or `no`"),
            Self::OneOf(words) => write!(f, "one of `{}`", words.join("`, `")),
            Self::Address => f.write_str("IP:port"),
            Self::ListenAddress => f.write_str("IP:port, port 0 for any"),
            Self::Addresses => f.write_str("list of IP:port"),
            Self::AddressesOrNone => f.write_str("list of IP:port, may be empty"),
            Self::Name => f.write_str("name"),
            Self::Names => f.write_str("list of names"),
            Self::NamesOrNone => f.write_str("list of names, may be empty"),
            Self::ServiceServers => f.write_str("list of IP:port@failure_domain"),
            Self::PathRules => f.write_str("list of METHOD /path, may be empty"),
            Self::KeyHashes => f.write_str("list of blake3 hashes in hexadecimal"),
            Self::Output => f.write_str("`none`, `stderr` or an absolute path"),
        }
    }
}

/// Splits a list separated by commas into its items, without surrounding space. A blank text has no
/// items.
pub(crate) fn split_list(value: &str) -> impl Iterator<Item = &str> {
    value
        .split(',')
        .map(str::trim)
        .filter(move |_| !value.trim().is_empty())
}

/// Parses a whole number whose digits may be grouped with `_`. Returns `None` for other text and
/// for numbers above 64 bits.
pub(crate) fn parse_integer(value: &str) -> Option<u64> {
    let well_formed = value.starts_with(|c: char| c.is_ascii_digit())
        && value.chars().all(|c| c.is_ascii_digit() || c == '_');
    well_formed
        .then(|| value.replace('_', "").parse().ok())
        .flatten()
}

/// Parses a decimal number whose digits may be grouped with `_`. Returns `None` for other text,
/// which includes signs and exponents.
pub(crate) fn parse_number(value: &str) -> Option<f64> {
    let well_formed = value.starts_with(|c: char| c.is_ascii_digit())
        && value
            .chars()
            .all(|c| c.is_ascii_digit() || c == '_' || c == '.');
    well_formed
        .then(|| value.replace('_', "").parse().ok())
        .flatten()
}

/// Parses `IP:port@failure_domain`.
///
/// # Errors
///
/// The reason why the text is not accepted, for a fault message.
pub(crate) fn parse_service_server(item: &str) -> Result<(SocketAddr, &str), String> {
    let (address, domain) = item
        .split_once('@')
        .ok_or_else(|| format!("{item:?} names no failure domain after `@`"))?;
    check_address(address, false)?;
    check_name(domain)?;
    let address = address
        .parse()
        .map_err(|_| format!("{address:?} is not IP:port"))?;
    Ok((address, domain))
}

fn check_integer(value: &str, min: u64, max: u64) -> Result<(), String> {
    match parse_integer(value) {
        Some(number) if (min..=max).contains(&number) => Ok(()),
        Some(number) => Err(format!("{number} is outside {min} to {max}")),
        None => Err(describe_non_number(value, "whole number")),
    }
}

fn check_number(value: &str, min: f64, max: f64) -> Result<(), String> {
    match parse_number(value) {
        Some(number) if (min..=max).contains(&number) => Ok(()),
        Some(number) => Err(format!("{number} is outside {min} to {max}")),
        None => Err(describe_non_number(value, "number")),
    }
}

/// Returns the reason why a value is not a number. A unit after the number has a reason of its own.
fn describe_non_number(value: &str, expected: &str) -> String {
    let unit = value.trim_start_matches(|c: char| c.is_ascii_digit() || matches!(c, '_' | '.'));
    if value.is_empty() {
        format!("the value is empty; a {expected} is expected")
    } else if unit.len() < value.len() && unit.trim().starts_with(char::is_alphabetic) {
        format!(
            "the value carries the unit text {:?}; the unit is part of the key name",
            unit.trim()
        )
    } else {
        format!("{value:?} is not a {expected}")
    }
}

fn check_word(value: &str, words: &[&str]) -> Result<(), String> {
    if words.contains(&value) {
        Ok(())
    } else {
        Err(format!("{value:?} is not one of {}", words.join(", ")))
    }
}

fn check_address(value: &str, port_0_allowed: bool) -> Result<(), String> {
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 && !port_0_allowed => Err(format!(
            "{value:?} has port 0; a port from 1 to 65535 is expected"
        )),
        Ok(_) => Ok(()),
        Err(_) if value.parse::<std::net::IpAddr>().is_ok() => {
            Err(format!("{value:?} has no port"))
        }
        Err(_) => {
            let host = value.rsplit_once(':').map_or(value, |(host, _)| host);
            if host.contains(char::is_alphabetic) && !host.contains(':') {
                Err(format!(
                    "{host:?} is a host name; only IP addresses are accepted"
                ))
            } else {
                Err(format!("{value:?} is not an IP address with a port"))
            }
        }
    }
}

pub(crate) fn check_name(value: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if value.is_empty() {
        Err("the name is empty".to_owned())
    } else if value.len() > NAME_MAX_BYTES {
        Err(format!("the name is longer than {NAME_MAX_BYTES} bytes"))
    } else if !value.chars().all(allowed) {
        Err(format!(
            "{value:?} contains characters other than letters, digits, `.`, `_` and `-`"
        ))
    } else {
        Ok(())
    }
}

fn check_path_rule(item: &str) -> Result<(), String> {
    let (method, path) = item
        .split_once(char::is_whitespace)
        .ok_or_else(|| format!("{item:?} is not `METHOD /path`"))?;
    let path = path.trim();
    let valid_method = method == "*"
        || (!method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase() || c == '-'));
    let wildcard = path.find('*');
    if !valid_method {
        Err(format!("method {method:?} is not in upper case"))
    } else if !path.starts_with('/') {
        Err(format!("path {path:?} does not start with `/`"))
    } else if wildcard.is_some_and(|at| at + 1 != path.len()) {
        Err(format!(
            "path {path:?} has a `*` that is not its last character"
        ))
    } else {
        Ok(())
    }
}

fn check_hash(item: &str) -> Result<(), String> {
    blake3::Hash::from_hex(item).map(|_| ()).map_err(|_| {
        "a key hash has 64 hexadecimal digits; `anvilgw key new` prints one".to_owned()
    })
}

fn check_output(value: &str) -> Result<(), String> {
    if value.contains([';', '#']) {
        // A comment after a value is read as part of the value. Such a text could be the path of a
        // file, but is most likely a mistake.
        Err("the value contains a comment; comments need a line of their own".to_owned())
    } else if matches!(value, "none" | "stderr") || value.starts_with('/') {
        Ok(())
    } else {
        Err(format!(
            "{value:?} is neither `none` nor `stderr` nor an absolute path"
        ))
    }
}

fn check_list(
    value: &str,
    non_empty: bool,
    check: impl Fn(&str) -> Result<(), String>,
) -> Result<(), String> {
    let items: Vec<_> = split_list(value).collect();
    if items.is_empty() && non_empty {
        return Err("the list is empty".to_owned());
    }
    for (index, item) in items.iter().enumerate() {
        if item.is_empty() {
            return Err("the list has an empty item".to_owned());
        }
        if items[..index].contains(item) {
            return Err(format!("{item:?} occurs twice"));
        }
        check(item)?;
    }
    Ok(())
}
