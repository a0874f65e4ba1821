//! Splitting a byte stream into events, and checking their order.

use comfreymux_lib::serve::events::EventError;
use comfreymux_lib::serve::events::EventOrder;
use comfreymux_lib::serve::events::EventSplitter;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::test_runner::Config;
use rstest::rstest;

fn stream(count: u64) -> Vec<u8> {
    (1..=count).flat_map(|id| format!("id: {id}\ndata: token {id}\n\n").into_bytes()).collect()
}

fn cuts() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1..40_usize, 1..60)
}

proptest! {
    #![proptest_config(Config { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Config::default() })]

    /// However the network splits the bytes, the splitter returns the same events, and never a partial one.
    #[test]
    fn any_cut(sizes in cuts()) {
        let bytes = stream(20);
        let mut splitter = EventSplitter::default();
        let mut order = EventOrder::default();
        let mut out = Vec::new();
        let mut at = 0;
        for size in sizes {
            let end = (at + size).min(bytes.len());
            splitter.push(&bytes[at..end]);
            at = end;
            while let Some(event) = splitter.next_event().expect("event within the size limit") {
                order.check(&event).expect("event in order");
                out.extend_from_slice(&event.bytes);
            }
        }
        assert!(bytes.starts_with(&out));
        assert!(at - out.len() < 40);
        assert_eq!(splitter.has_partial(), at > out.len());
    }
}

/// An event out of order is rejected: the caller would otherwise receive a gap, a repeated event, or the output of
/// two runs in one stream.
#[rstest]
#[case::gap("id: 3\n\n")]
#[case::repeat("id: 1\n\n")]
#[case::unnumbered("data: x\n\n")]
fn order_checked(#[case] next: &str) {
    let mut splitter = EventSplitter::default();
    let mut order = EventOrder::after(Some(0));
    splitter.push(b"id: 1\n\n");
    splitter.push(next.as_bytes());
    let first = splitter.next_event().expect("small event").expect("complete event");
    order.check(&first).expect("the first event is in order");
    let second = splitter.next_event().expect("small event").expect("complete event");
    assert!(order.check(&second).is_err());
    assert_eq!(order.last(), Some(1));
}

#[test]
fn huge_refused() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 2 * 1024 * 1024]);
    assert_eq!(splitter.next_event(), Err(EventError::TooLarge));
}
