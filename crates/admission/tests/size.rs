//! Limits of the decision module's text, as its readers set them.

#[test]
fn the_module_stays_within_its_size() {
    let text = include_str!("../src/choice.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1010, "{lines} non-blank lines of 1,010");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 characters", number + 1);
    }
    assert!(text.lines().take(3).any(|line| line.contains("interface.rs")));
}
