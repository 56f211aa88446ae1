//! Numbers that look drawn, for choices that every process makes alike.

/// Returns a number that tells nothing of its neighbours (the finalizer of SplitMix64, Steele and
/// others 2014).
#[must_use]
pub fn scramble(number: u64) -> u64 {
    let value = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
