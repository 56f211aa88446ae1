//! Addresses in messages: six bytes for an IPv4 address and its port, 18 for an IPv6 one.
//!
//! The encoding without names, which is not human-readable, has a form of its own.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::Bytes;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub(crate) fn serialize<S: Serializer>(
    addresses: &Vec<SocketAddr>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    if !serializer.is_human_readable() {
        return addresses.serialize(serializer);
    }
    serializer.collect_seq(addresses.iter().map(encode))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<SocketAddr>, D::Error> {
    if !deserializer.is_human_readable() {
        return Vec::deserialize(deserializer);
    }
    let encoded = Vec::<Bytes>::deserialize(deserializer)?;
    let decoded = encoded.iter().map(|bytes| decode(bytes));
    let decoded: Option<Vec<SocketAddr>> = decoded.collect();
    decoded.ok_or_else(|| D::Error::custom("an address has neither 6 nor 18 bytes"))
}

fn encode(address: &SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    Bytes::from(bytes)
}

fn decode(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk()?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else {
        IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(ip).ok()?))
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
