use super::*;

const TIME_LIMIT: Duration = Duration::from_secs(600);

/// Guards against an order of events in which a request that was read gets no answer: none exists within small bounds, and
/// leaving out the acknowledged end of reading, or the last answers, gives one.
#[test]
fn every_message_read_is_answered_in_every_order_of_events() {
    for shares_listener in [true, false] {
        let bounds = Bounds { connections: 2, messages: 2, shares_listener, without: Without::Nothing };
        let explored = explore(&bounds, 4, TIME_LIMIT);
        println!("{bounds:?}: {} states", explored.states);
        assert_eq!(explored.counterexample, None);
        assert!(explored.complete && explored.states > 10_000, "{explored:?}");
        assert_eq!(explored.never, Vec::<&str>::new());
        for without in [Without::TheEndOfReading, Without::TheLastAnswers] {
            let bounds = Bounds { connections: 1, messages: 2, shares_listener, without };
            let explored = explore(&bounds, 4, TIME_LIMIT);
            println!("{without:?}: {:?}", explored.counterexample);
            assert!(explored.counterexample.is_some(), "{without:?}");
        }
    }
}
