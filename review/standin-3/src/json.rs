//! A small reader of JSON, for the bodies that the daemon sends.

use std::collections::BTreeMap;
use std::iter::Peekable;
use std::str::Chars;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text. Parts that are not JSON become [`Json::Null`].
    pub fn parse(text: &str) -> Self {
        value(&mut text.chars().peekable())
    }

    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns the text in a field, or an empty one.
    pub fn text(&self, name: &str) -> String {
        match self.field(name) {
            Self::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns the number in a field, or 0.
    pub fn number(&self, name: &str) -> f64 {
        match self.field(name) {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    /// Returns the texts of the list in a field.
    pub fn list(&self, name: &str) -> Vec<String> {
        match self.field(name) {
            Self::List(items) => items
                .iter()
                .filter_map(|item| match item {
                    Self::Text(text) => Some(text.clone()),
                    _ => None,
                })
                .collect(),
            _ => Vec::new(),
        }
    }
}

fn skip_spaces(chars: &mut Peekable<Chars<'_>>) {
    while chars.next_if(|next| next.is_whitespace()).is_some() {}
}

fn value(chars: &mut Peekable<Chars<'_>>) -> Json {
    skip_spaces(chars);
    match chars.peek() {
        Some('{') => object(chars),
        Some('[') => list(chars),
        Some('"') => Json::Text(string(chars)),
        _ => word(chars),
    }
}

fn object(chars: &mut Peekable<Chars<'_>>) -> Json {
    chars.next();
    let mut fields = BTreeMap::new();
    loop {
        skip_spaces(chars);
        match chars.peek() {
            Some('"') => {
                let name = string(chars);
                skip_spaces(chars);
                chars.next_if_eq(&':');
                fields.insert(name, value(chars));
            }
            Some(',') => {
                chars.next();
            }
            _ => {
                chars.next();
                return Json::Object(fields);
            }
        }
    }
}

fn list(chars: &mut Peekable<Chars<'_>>) -> Json {
    chars.next();
    let mut items = Vec::new();
    loop {
        skip_spaces(chars);
        match chars.peek() {
            None | Some(']') => {
                chars.next();
                return Json::List(items);
            }
            Some(',') => {
                chars.next();
            }
            Some(_) => items.push(value(chars)),
        }
    }
}

fn string(chars: &mut Peekable<Chars<'_>>) -> String {
    chars.next();
    let mut text = String::new();
    while let Some(next) = chars.next() {
        match next {
            '"' => break,
            '\\' => text.extend(chars.next()),
            other => text.push(other),
        }
    }
    text
}

fn word(chars: &mut Peekable<Chars<'_>>) -> Json {
    let mut text = String::new();
    while let Some(next) = chars.next_if(|next| !",]} \n\r\t".contains(*next)) {
        text.push(next);
    }
    match text.as_str() {
        "true" => Json::Bool(true),
        "false" => Json::Bool(false),
        other => other.parse().map_or(Json::Null, Json::Number),
    }
}
