//! Bearer token of a request.

/// Maximum length of a token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 128;

const SCHEME: &[u8] = b"bearer ";

/// Returns the token of an `Authorization` header; `None` if the header holds no valid token.
///
/// A token is 1 to [`MAX_TOKEN_BYTES`] visible ASCII characters. The scheme is case-insensitive,
/// and white space around the token is ignored.
#[must_use]
pub fn bearer_token(authorization: &[u8]) -> Option<&str> {
    let (scheme, token) = authorization.split_at_checked(SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    let token = token.trim_ascii();
    let is_valid =
        (1..=MAX_TOKEN_BYTES).contains(&token.len()) && token.iter().all(u8::is_ascii_graphic);
    std::str::from_utf8(token).ok().filter(|_| is_valid)
}
