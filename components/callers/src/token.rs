//! The bearer token of a request.

/// Longest token that is looked up, in bytes.
pub const MAX_TOKEN_BYTES: usize = 128;

const SCHEME: &[u8] = b"bearer ";

/// Returns the token of an `Authorization` header, if it has the form of one.
///
/// A token is 1 to [`MAX_TOKEN_BYTES`] visible ASCII characters; the scheme may be written in
/// any case, and blanks around the token are ignored.
#[must_use]
pub fn bearer_token(authorization: &[u8]) -> Option<&str> {
    let (scheme, secret) = authorization.split_at_checked(SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    let secret = secret.trim_ascii();
    let is_token =
        (1..=MAX_TOKEN_BYTES).contains(&secret.len()) && secret.iter().all(u8::is_ascii_graphic);
    std::str::from_utf8(secret).ok().filter(|_| is_token)
}
