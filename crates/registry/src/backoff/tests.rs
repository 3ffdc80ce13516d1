use super::*;
use rand_pcg::rand_core::SeedableRng;

#[test]
fn delays_grow_to_their_maximum_and_are_randomized() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut backoff = Backoff::new(Span(1_000), Span(30_000));
    let waits: Vec<u64> = (0..40).map(|_| backoff.failed(&mut rng).0).collect();
    assert!((500..1_000).contains(&waits[0]), "{waits:?}");
    assert!(waits.iter().all(|&wait| wait < 30_000), "{waits:?}");
    assert!(waits[10..].iter().all(|&wait| wait >= 15_000), "{waits:?}");
    assert!(waits[10..].windows(2).any(|two| two[0] != two[1]), "{waits:?}");
    backoff.reset();
    assert!(backoff.failed(&mut rng).0 < 1_000);
}
