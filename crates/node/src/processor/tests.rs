use super::*;

/// Guards against a link that is made later and later because the ones before it were only quiet.
#[test]
fn only_links_that_fell_young_and_brought_nothing_lengthen_the_pause() {
    let young = Duration::from_millis(3);
    assert_eq!(next_pause(RETRY, false, young), RETRY * 2);
    assert_eq!(next_pause(MOST_RETRY, false, young), MOST_RETRY);
    assert_eq!(next_pause(MOST_RETRY, false, STOOD), RETRY);
    assert_eq!(next_pause(MOST_RETRY, true, young), RETRY);
}
