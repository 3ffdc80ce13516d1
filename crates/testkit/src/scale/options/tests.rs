use super::*;

#[test]
fn what_is_lacking_is_told_before_the_start() {
    assert_eq!(enough(100, 1_000, 10, 100), Ok(()));
    let told = enough(2_000, 1_024, 10, 100).unwrap_err().to_string();
    assert!(
        told.contains("2000 descriptors") && told.contains("1024") && told.contains("ulimit -n"),
        "{told}"
    );
    let told = enough(100, 1_024, 500, 100).unwrap_err().to_string();
    assert!(told.contains("500 MB") && told.contains("100 MB"), "{told}");
}

#[test]
fn sizes_are_in_order_and_a_signal_ends_a_run() {
    let options = Options { sizes: vec![30, 10], target: None, seed: 1, json: None, plot: None };
    assert_eq!(options.sizes_or(&[1]), [10, 30]);
    let end = AtomicBool::new(false);
    assert!(go_on(&end).is_ok());
    end.store(true, Ordering::Relaxed);
    assert!(go_on(&end).is_err());
}
