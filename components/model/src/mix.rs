//! A mixing function for pseudorandom choices that come out the same in every process.

/// Mixes the bits of a number so that similar inputs give unrelated outputs (the finalizer of
/// SplitMix64, Steele and others 2014).
#[must_use]
pub fn mix64(number: u64) -> u64 {
    let value = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
