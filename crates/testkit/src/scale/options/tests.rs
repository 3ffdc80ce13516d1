use super::*;

#[test]
fn missing_resources_are_reported_before_the_start() {
    assert_eq!(check_limits(100, 1_000, 10, 100), Ok(()));
    let message = check_limits(2_000, 1_024, 10, 100).unwrap_err().to_string();
    assert!(
        message.contains("2000 descriptors") && message.contains("1024") && message.contains("ulimit -n"),
        "{message}"
    );
    let message = check_limits(100, 1_024, 500, 100).unwrap_err().to_string();
    assert!(message.contains("500 MB") && message.contains("100 MB"), "{message}");
}

#[test]
fn sizes_are_sorted_and_a_signal_ends_a_run() {
    let options = Options { sizes: vec![30, 10], target: None, seed: 1, json: None, plot: None };
    assert_eq!(options.sizes_or(&[1]), [10, 30]);
    let end = AtomicBool::new(false);
    assert!(check_interrupted(&end).is_ok());
    end.store(true, Ordering::Relaxed);
    assert!(check_interrupted(&end).is_err());
}
