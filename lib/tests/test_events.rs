//! Events split out of a stream's bytes.

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

    /// However the network cuts the bytes, the same events come out, and nothing of a cut one.
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
            while let Some(event) = splitter.next_event().expect("small events") {
                order.check(&event).expect("in order");
                out.extend_from_slice(&event.bytes);
            }
        }
        assert!(bytes.starts_with(&out));
        assert!(at - out.len() < 40);
        assert_eq!(splitter.has_partial(), at > out.len());
    }
}

/// A caller would see a gap, a repeat, or two runs joined.
#[rstest]
#[case::gap("id: 3\n\n")]
#[case::repeat("id: 1\n\n")]
#[case::unnumbered("data: x\n\n")]
fn order_checked(#[case] next: &str) {
    let mut splitter = EventSplitter::default();
    let mut order = EventOrder::after(Some(0));
    splitter.push(b"id: 1\n\n");
    splitter.push(next.as_bytes());
    let first = splitter.next_event().expect("small").expect("whole");
    order.check(&first).expect("the first is due");
    let second = splitter.next_event().expect("small").expect("whole");
    assert!(order.check(&second).is_err());
    assert_eq!(order.last(), Some(1));
}

#[test]
fn huge_refused() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 2 * 1024 * 1024]);
    assert_eq!(splitter.next_event(), Err(EventError::TooLarge));
}
