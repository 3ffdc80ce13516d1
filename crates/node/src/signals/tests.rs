use super::*;
use signal_hook::consts::{SIGUSR1, SIGUSR2, SIGWINCH};
use signal_hook::low_level::raise;

/// Guards the reload and the planned leave: a received signal is returned, no other one is, and a signal that arrives
/// while nobody waits is returned by the next wait.
#[test]
fn returns_each_received_signal_once() {
    let mut signals = Signals::new(&[SIGUSR1, SIGUSR2]).unwrap();
    raise(SIGUSR2).unwrap();
    assert_eq!(signals.wait().unwrap(), vec![SIGUSR2]);
    raise(SIGUSR1).unwrap();
    raise(SIGUSR2).unwrap();
    let mut received = signals.wait().unwrap();
    if received.len() < 2 {
        received.extend(signals.wait().unwrap());
    }
    assert_eq!(received, vec![SIGUSR1, SIGUSR2]);
}

/// Guards against a process that never notices SIGTERM: the handler's write to the pipe can be interrupted, as fault
/// injection does, so that only the flag records the signal.
#[test]
fn returns_a_signal_whose_pipe_byte_was_lost() {
    // No other test of this process raises this signal.
    let mut signals = Signals::new(&[SIGWINCH]).unwrap();
    signals.flags[0].1.store(true, Ordering::SeqCst);
    let (sender, returned) = std::sync::mpsc::channel();
    std::thread::spawn(move || sender.send(signals.wait().unwrap()));
    assert_eq!(returned.recv_timeout(std::time::Duration::from_secs(20)).expect("a signal"), vec![SIGWINCH]);
}

/// Guards the start on platforms that deny Unix sockets: signal handling opens pipes and no socket.
#[test]
fn signal_handling_opens_no_unix_socket() {
    let links = || -> Vec<String> {
        let folder = std::fs::read_dir("/proc/self/fd").unwrap();
        let links = folder.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        links.map(|link| link.display().to_string()).collect()
    };
    let before = links();
    let _signals = Signals::new(&[SIGUSR1]).unwrap();
    let new: Vec<String> = links().into_iter().filter(|link| !before.contains(link)).collect();
    // Concurrent tests open files and TCP sockets, but no Unix sockets.
    let unix = std::fs::read_to_string("/proc/self/net/unix").unwrap();
    let is_unix = |link: &String| {
        let inode = link.strip_prefix("socket:[").and_then(|link| link.strip_suffix(']'));
        inode.is_some_and(|inode| unix.split_whitespace().any(|word| word == inode))
    };
    assert!(new.iter().any(|link| link.starts_with("pipe:")), "{new:?}");
    assert!(!new.iter().any(is_unix), "{new:?}");
}
