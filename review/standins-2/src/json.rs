//! A small JSON value with a parser and a writer.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn object<const N: usize>(fields: [(&str, Self); N]) -> Self {
        let fields = fields.into_iter();
        Self::Object(fields.map(|(key, value)| (key.to_owned(), value)).collect())
    }

    pub fn get(&self, key: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Self::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Self] {
        match self.get(key) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) if number.fract() == 0.0 => write!(f, "{number:.0}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => write_text(f, text),
            Self::List(items) => {
                f.write_str("[")?;
                for (at, item) in items.iter().enumerate() {
                    if at > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (at, (key, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        f.write_str(",")?;
                    }
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (*self.bytes.get(self.at)? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.eat(b'{')?;
        let mut fields = BTreeMap::new();
        if self.eat(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            self.eat(b':')?;
            fields.insert(key, self.value()?);
            if self.eat(b'}').is_some() {
                return Some(Json::Object(fields));
            }
            self.eat(b',')?;
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.eat(b'[')?;
        let mut items = Vec::new();
        if self.eat(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.eat(b']').is_some() {
                return Some(Json::List(items));
            }
            self.eat(b',')?;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('?');
                            text.extend(c.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}
