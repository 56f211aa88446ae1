//! Semantics and determinism of the event queue.

use proof::simnet::{Endpoint, Faults, Net};
use rstest::rstest;

const A: Endpoint = Endpoint(1);
const B: Endpoint = Endpoint(2);

fn drain(net: &mut Net<u32>) -> Vec<(u64, u32)> {
    std::iter::from_fn(|| net.pop()).collect()
}

fn events(net: &mut Net<u32>) -> Vec<u32> {
    drain(net).into_iter().map(|(_, event)| event).collect()
}

fn noisy_trace(seed: u64) -> Vec<(u64, u32)> {
    let mut net = Net::new(seed);
    net.set_default_faults(
        Faults::default()
            .loss(0.2)
            .duplicate(0.2)
            .delay_us(10..=5_000),
    );
    for number in 0..200 {
        net.send(u64::from(number) * 100, A, B, number);
    }
    drain(&mut net)
}

#[test]
fn same_seed_gives_the_same_trace() {
    assert_eq!(noisy_trace(7), noisy_trace(7));
    assert_ne!(noisy_trace(7), noisy_trace(8));
}

#[test]
fn events_come_by_time_then_by_insertion() {
    let mut net = Net::new(1);
    for (at_us, event) in [(20, 1), (10, 2), (20, 3), (10, 4)] {
        net.schedule(at_us, event);
    }
    assert_eq!(drain(&mut net), [(10, 2), (10, 4), (20, 1), (20, 3)]);
    net.schedule(5, 5);
    assert_eq!(net.pop(), Some((20, 5)));
}

#[test]
fn wide_delays_reorder_unless_the_link_is_ordered() {
    let run = |faults: Faults| {
        let mut net = Net::new(3);
        net.set_faults(A, B, faults.delay_us(1..=10_000));
        (0..50).for_each(|number| net.send(0, A, B, number));
        events(&mut net)
    };
    assert!(!run(Faults::default()).is_sorted());
    assert!(run(Faults::default().ordered()).is_sorted());
}

#[test]
fn loss_and_duplication_are_certain_at_probability_one() {
    let mut net = Net::new(1);
    net.set_faults(A, B, Faults::default().loss(1.0));
    net.set_faults(B, A, Faults::default().duplicate(1.0));
    net.send(0, A, B, 1);
    net.send(0, B, A, 2);
    assert_eq!(events(&mut net), [2, 2]);
    let counts = net.counts();
    assert_eq!(
        (counts.sent, counts.lost, counts.duplicated, counts.cut),
        (2, 1, 1, 0)
    );
}

#[rstest]
#[case(false, &[2])]
#[case(true, &[])]
fn cut_drops_one_or_both_ways(#[case] both: bool, #[case] passed: &[u32]) {
    let mut net = Net::new(1);
    if both {
        net.cut_both(A, B);
    } else {
        net.cut(A, B);
    }
    net.send(0, A, B, 1);
    net.send(0, B, A, 2);
    assert_eq!(events(&mut net), passed);
    net.heal_both(A, B);
    net.send(0, A, B, 3);
    assert_eq!(events(&mut net), [3]);
}

#[test]
fn cut_drops_messages_in_flight_but_no_timers() {
    let mut net = Net::new(1);
    net.send(0, A, B, 1);
    net.schedule_at(400, B, 2);
    net.cut(A, B);
    assert_eq!(events(&mut net), [2]);
    assert_eq!(net.counts().cut, 1);
}

#[test]
fn pause_holds_deliveries_and_timers_in_order() {
    let mut net = Net::new(1);
    net.pause(B);
    net.send(0, A, B, 1);
    net.schedule_at(700, B, 2);
    net.schedule(10_000, 3);
    assert_eq!(net.pop(), Some((10_000, 3)));
    assert_eq!(net.pop(), None);
    // A cut after the arrival does not drop the message.
    net.cut(A, B);
    net.resume(B);
    assert_eq!(drain(&mut net), [(10_000, 1), (10_000, 2)]);
}

#[test]
fn clock_stops_during_a_pause_and_jumps_after_it() {
    let mut net = Net::new(1);
    net.set_skew_us(A, -100);
    for at_us in [1_000, 9_000] {
        net.schedule(at_us, 0);
    }
    net.pop();
    net.pause(B);
    net.pop();
    net.pause(B);
    assert_eq!(
        (net.clock_us(A), net.clock_us(B), net.now_us()),
        (8_900, 1_000, 9_000)
    );
    net.resume(B);
    assert_eq!(net.clock_us(B), 9_000);
}

#[test]
fn discard_drops_held_and_queued_events_of_an_endpoint() {
    let mut net = Net::new(1);
    net.send(0, A, B, 1);
    net.send(0, B, A, 2);
    net.pause(B);
    net.schedule_at(100, B, 3);
    net.schedule(200, 4);
    assert_eq!(net.pop(), Some((200, 4)));
    net.discard(B);
    net.resume(B);
    assert_eq!(events(&mut net), [2]);
}
