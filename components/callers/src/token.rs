//! Bearer tokens of callers and operators.

use std::fmt;

use derive_more::{Display, Error};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Longest token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 128;

const NOT_FOUND: u32 = u32::MAX;
const SCHEME: &[u8] = b"bearer ";

/// A secret that identifies a caller; its `Debug` form does not show it.
#[derive(Clone)]
pub struct Token {
    // Padded with zeros, which no token holds, so that all comparisons take the same time.
    padded: [u8; MAX_TOKEN_BYTES],
}

/// Why a token is refused.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// The token is empty.
    #[display("token is empty")]
    Empty,
    /// The token is longer than [`MAX_TOKEN_BYTES`].
    #[display("token is longer than {MAX_TOKEN_BYTES} bytes")]
    TooLong,
    /// The token holds a space or a character that is not visible ASCII.
    #[display("token holds a character that is not visible ASCII")]
    BadCharacter,
    /// Two entries of a table have the same token.
    #[display("token is listed twice")]
    Duplicate,
}

impl Token {
    /// Creates a token from 1 to [`MAX_TOKEN_BYTES`] visible ASCII characters.
    ///
    /// # Errors
    ///
    /// Fails if there are none, too many or others.
    pub fn new(secret: &[u8]) -> Result<Self, TokenError> {
        if secret.is_empty() {
            return Err(TokenError::Empty);
        }
        if secret.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        if !secret.iter().all(u8::is_ascii_graphic) {
            return Err(TokenError::BadCharacter);
        }
        let mut padded = [0; MAX_TOKEN_BYTES];
        padded[..secret.len()].copy_from_slice(secret);
        Ok(Self { padded })
    }

    fn matches(&self, other: &Self) -> Choice {
        self.padded.ct_eq(&other.padded)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Returns the token of an `Authorization` header.
#[must_use]
pub fn bearer_token(authorization: &[u8]) -> Option<Token> {
    let (scheme, secret) = authorization.split_at_checked(SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    Token::new(secret.trim_ascii()).ok()
}

/// Finds whom a token identifies, in a time that does not depend on the token.
#[derive(Debug, Clone)]
pub struct TokenTable<P> {
    entries: Vec<(Token, P)>,
}

impl<P> TokenTable<P> {
    /// Creates a table.
    ///
    /// # Errors
    ///
    /// Fails if two entries have the same token.
    pub fn new(entries: Vec<(Token, P)>) -> Result<Self, TokenError> {
        for (index, (token, _)) in entries.iter().enumerate() {
            let mut earlier = entries[..index].iter();
            if earlier.any(|(other, _)| token.matches(other).into()) {
                return Err(TokenError::Duplicate);
            }
        }
        Ok(Self { entries })
    }

    /// Returns whom the token identifies; always compares with every entry.
    #[must_use]
    pub fn find(&self, presented: &Token) -> Option<&P> {
        let mut found = NOT_FOUND;
        for (index, (token, _)) in self.entries.iter().enumerate() {
            found.conditional_assign(&(index as u32), token.matches(presented));
        }
        self.entries.get(found as usize).map(|(_, found)| found)
    }
}
