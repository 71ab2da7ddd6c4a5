//! Tests of the encoding: no input from the network may cause a panic or an oversized answer.

use crate::driver::{contact, ms};
use anvilgw_core::{DaemonId, DomainId};
use anvilgw_fleet::{
    Contact, DaemonStatus, Datagram, DecodeError, MAX_DATAGRAM_BYTES, Membership, MembershipAction,
    Message,
};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::{Ipv6Addr, SocketAddr};

fn member() -> Membership {
    let seed_addresses = [contact(2, 1).address];
    Membership::new(
        contact(1, 1),
        &seed_addresses,
        StdRng::seed_from_u64(1),
        ms(0),
    )
}

fn largest_datagram() -> Datagram {
    let from = Contact {
        id: DaemonId {
            index: u32::MAX,
            incarnation: u64::MAX,
        },
        address: SocketAddr::from((Ipv6Addr::from(u128::MAX), u16::MAX)),
        domain: DomainId(u16::MAX),
    };
    let daemon_status = DaemonStatus {
        config_version: u64::MAX,
        view_age_ms: Some(u32::MAX),
        reaches_log: true,
        epoch: u64::MAX,
        uptime_ms: u64::MAX,
        outage_ages: vec![0xff; 256],
    };
    Datagram {
        from,
        refutation: u32::MAX,
        daemon_status,
        message: Message::Ping { seq: u32::MAX },
        updates: Vec::new(),
    }
}

/// Guards against a datagram that the sender encodes but the receiver rejects, or that is too long.
#[test]
fn the_largest_probe_fits_and_survives_the_round_trip() {
    let datagram = largest_datagram();
    let bytes = datagram.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(Datagram::decode(&bytes), Ok(datagram));
}

/// Guards against datagrams that are accepted although no member sends them.
#[test]
fn damaged_datagrams_are_refused_with_the_reason() {
    let good = largest_datagram().encode();
    let mut trailing = good.clone();
    trailing.push(0);
    let cut = &good[..good.len() - 1];
    assert_eq!(
        Datagram::decode(&trailing),
        Err(DecodeError::TrailingBytes(1))
    );
    assert!(matches!(
        Datagram::decode(cut),
        Err(DecodeError::Malformed(_))
    ));
    let long = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(
        Datagram::decode(&long),
        Err(DecodeError::TooLong(long.len()))
    );
}

/// Guards against a list whose claimed length makes the decoder reserve too much memory.
#[test]
fn a_claimed_list_length_is_bounded() {
    let mut datagram = largest_datagram();
    datagram.daemon_status.outage_ages = vec![0; 257];
    datagram.from = contact(1, 1);
    datagram.daemon_status.config_version = 0;
    let bytes = datagram.encode();
    assert_eq!(Datagram::decode(&bytes), Err(DecodeError::ListTooLong(1)));
    let mut huge = prefix_up_to_outage_ages();
    huge.extend([0xfd, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]);
    assert!(matches!(
        Datagram::decode(&huge),
        Err(DecodeError::Malformed(_))
    ));
}

/// Returns an encoded datagram up to the length of the list of outage ages.
fn prefix_up_to_outage_ages() -> Vec<u8> {
    let datagram = Datagram {
        daemon_status: DaemonStatus::default(),
        from: contact(1, 1),
        refutation: 0,
        message: Message::Gossip,
        updates: Vec::new(),
    };
    let bytes = datagram.encode();
    // The message and the list of updates follow the list of outage ages. With its length, these
    // are three bytes.
    bytes[..bytes.len() - 3].to_vec()
}

/// Guards against panics and oversized answers on random bytes and on datagrams with changed bytes.
#[test]
fn no_input_causes_a_panic_or_an_oversized_answer() {
    fn check(noise: Vec<u8>, changes: Vec<(usize, u8)>) -> bool {
        let mut member = member();
        let mut changed = Datagram {
            from: contact(2, 7),
            ..largest_datagram()
        }
        .encode();
        for (at, value) in changes {
            let len = changed.len();
            changed[at % len] = value;
        }
        let source = contact(2, 7).address;
        let inputs = [noise, changed];
        inputs.iter().all(|input| {
            let actions = member.handle(ms(5), source, input, &DaemonStatus::default());
            let later = member.tick(ms(700), &DaemonStatus::default());
            actions.iter().chain(&later).all(|action| match action {
                MembershipAction::Send { bytes, .. } => bytes.len() <= MAX_DATAGRAM_BYTES,
                MembershipAction::Event(_) => true,
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(3_000)
        .quickcheck(check as fn(Vec<u8>, Vec<(usize, u8)>) -> bool);
}
