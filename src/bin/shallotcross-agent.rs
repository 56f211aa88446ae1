//! Agent program.
fn main() {}
