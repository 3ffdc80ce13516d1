use super::*;
use signal_hook::consts::{SIGUSR1, SIGUSR2, SIGWINCH};
use signal_hook::low_level::raise;

/// Guards the reload and the planned leave: a signal that comes is told, one that didn't is not, and one that came
/// while nobody waited is told at the next wait.
#[test]
fn returns_each_received_signal_once() {
    let mut signals = Signals::new(&[SIGUSR1, SIGUSR2]).unwrap();
    raise(SIGUSR2).unwrap();
    assert_eq!(signals.wait().unwrap(), vec![SIGUSR2]);
    raise(SIGUSR1).unwrap();
    raise(SIGUSR2).unwrap();
    let mut came = signals.wait().unwrap();
    if came.len() < 2 {
        came.extend(signals.wait().unwrap());
    }
    assert_eq!(came, vec![SIGUSR1, SIGUSR2]);
}

/// Guards against a process that never hears its notice to leave: the handler's write of the waking byte was interrupted, as
/// fault injection does to it, so that only the flag tells of the signal.
#[test]
fn returns_a_signal_whose_pipe_byte_was_lost() {
    // One that no other test here raises.
    let mut signals = Signals::new(&[SIGWINCH]).unwrap();
    signals.flags[0].1.store(true, Ordering::SeqCst);
    let (sender, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || sender.send(signals.wait().unwrap()));
    assert_eq!(told.recv_timeout(std::time::Duration::from_secs(20)).expect("it is told"), vec![SIGWINCH]);
}

/// Guards the start on platforms that refuse Unix sockets: what is opened for signals is pipes, no socket.
#[test]
fn signals_take_no_socket() {
    let links = || -> Vec<String> {
        let folder = std::fs::read_dir("/proc/self/fd").unwrap();
        let links = folder.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        links.map(|link| link.display().to_string()).collect()
    };
    let before = links();
    let _signals = Signals::new(&[SIGUSR1]).unwrap();
    let new: Vec<String> = links().into_iter().filter(|link| !before.contains(link)).collect();
    // Tests beside this one open files and TCP sockets of their own; none has Unix sockets.
    let unix = std::fs::read_to_string("/proc/self/net/unix").unwrap();
    let is_unix = |link: &String| {
        let inode = link.strip_prefix("socket:[").and_then(|link| link.strip_suffix(']'));
        inode.is_some_and(|inode| unix.split_whitespace().any(|word| word == inode))
    };
    assert!(new.iter().any(|link| link.starts_with("pipe:")), "{new:?}");
    assert!(!new.iter().any(is_unix), "{new:?}");
}
