//! Reloads at SIGHUP: classes added and removed while requests are open, and invalid files that are rejected
//! entirely.

mod program;
mod scenario;
use program::Program;
use scenario::play;
use scenario::socket_stage::SocketStage;
use scenario::virtual_stage::VirtualStage;

#[test]
fn a_class_removed_with_open_requests_answers_them_and_expires() {
    // Guards open requests across a reload: a keyed request keeps its class and is served, its removed class is
    // accepted for the grace period in which proxies still use it and is unknown afterwards, and the new class runs
    // at once.
    play(
        &mut VirtualStage::ready(),
        "send a call 1 rid=1 method=claim token=t1 body=save
         expect processor begin 1 claim save
         send server HUP retuned
         expect settings read claim view
         send b call 1 rid=2 method=view body=tile
         expect processor begin 2 view tile
         send processor complete 1 1 OK saved
         expect a 1 served saved
         send a call 2 rid=3 method=claim token=t2 body=late
         expect processor begin 3 claim late
         wait 2600
         send a call 3 rid=4 method=claim token=t3
         expect a 3 invalid unknown method
         expect no processor begin 4
         send a call 4 rid=5 method=claim token=t1 body=save
         expect a 4 invalid unknown method
         send admin stats
         expect admin 200 server_cfg_accepted_total 1
         expect admin 200 server_operations_total{priority=\"claim\",status=\"fulfilled\"} 1
         expect admin 200 server_operations_total{priority=\"claim\",status=\"faulted\"} 2",
    );
}

#[test]
fn each_kind_of_invalid_settings_is_rejected_entirely() {
    // Guards the active settings: a file that is empty, truncated or lacks a key, a keyed class without a window, and a
    // deadline that is zero, negative or not a number change nothing, not even the valid part; each is counted.
    let mut stage = VirtualStage::ready();
    let kinds = [
        "empty",
        "cut",
        "keyless",
        "zero-deadline",
        "negative-deadline",
        "word-deadline",
        "broken",
        "windowless",
        "zero-window",
        "costless",
    ];
    for (n, kind) in kinds.iter().enumerate() {
        play(
            &mut stage,
            &format!(
                "send server HUP {kind}
                 expect no settings
                 send a call {seq} rid={seq} method=view
                 expect a {seq} invalid unknown method
                 send admin stats
                 expect admin 200 server_cfg_invalid_total {count}
                 expect admin 200 server_cfg_accepted_total 0",
                seq = n + 1,
                count = n + 1,
            ),
        );
    }
    play(
        &mut stage,
        "send server HUP retuned
         expect settings read claim view
         send admin stats
         expect admin 200 server_cfg_accepted_total 1",
    );
}

#[test]
fn a_keyed_request_runs_once_although_a_file_without_its_window_comes() {
    // Guards against a class whose window closes as it opens: with such a file each repeat ran again (review, case 6).
    play(
        &mut VirtualStage::ready(),
        "send server HUP windowless
         expect no settings
         send a call 1 rid=1 method=claim token=t1 body=save
         expect processor begin 1 claim save
         send a cancel 1
         wait 300
         send a call 2 rid=2 method=claim token=t1 body=save again=1
         expect no processor begin 2
         send processor complete 1 1 OK saved
         expect a 2 served saved",
    );
}

#[test]
fn a_reload_on_sockets_applies_new_settings_and_counts_an_invalid_file() {
    play(
        &mut SocketStage::start("retune"),
        "expect processor hello 0
         send server HUP empty
         until admin stats 200 server_cfg_invalid_total 1
         send a call 1 rid=1 method=view
         expect a 1 invalid unknown method
         send server HUP retuned
         until admin stats 200 server_cfg_accepted_total 1
         send a call 2 rid=2 method=view body=tile
         expect processor begin 2 view tile
         send processor complete 1 2 OK out
         expect a 2 served out
         send admin stats
         expect admin 200 server_operations_total{priority=\"view\",status=\"fulfilled\"} 1",
    );
}

/// Guards against running a keyed request twice because its class became repeatable meanwhile: for the rest of the
/// window its retries are answered from the run, and attempts without a token run under the new settings.
#[test]
fn a_class_no_longer_keyed_still_answers_retries_of_its_keyed_runs() {
    play(
        &mut VirtualStage::ready(),
        "send a call 1 method=claim token=t rid=1
         expect processor begin 1
         send processor complete 1 1 OK once
         expect a 1 served once
         send a call 2 method=claim token=u rid=2
         expect processor begin 2
         send server HUP unkeyed
         expect settings
         send b call 1 method=claim token=t rid=3 again=1
         expect b 1 served once
         send b call 2 method=claim token=u rid=4 again=1
         send b call 3 method=claim rid=5
         expect processor begin 5
         send b call 4 method=claim rid=6
         expect processor begin 6
         send processor complete 2 2 OK still
         expect a 2 served still
         expect b 2 served still
         wait 8900
         send c call 1 method=claim token=t rid=7 again=1
         expect c 1 served once
         wait 2800
         send c call 2 method=claim token=t rid=8
         expect processor begin 8
         send c call 3 method=claim token=t rid=9
         expect processor begin 9
         expect no processor begin",
    );
}

/// Guards a class that becomes keyed again with a window shorter than its deadline: counted from the timestamp of the
/// attempt that ran, no retry runs just inside the window, and one does just after it.
#[test]
fn a_class_keyed_again_uses_its_new_window() {
    play(
        &mut VirtualStage::ready(),
        "send server HUP unkeyed
         expect settings
         send a call 1 method=claim rid=1
         expect processor begin 1
         send server HUP rekeyed
         expect settings
         send a call 2 method=claim rid=2
         expect a 2 invalid no token
         send a call 3 method=claim token=t rid=3
         expect processor begin 3
         send processor complete 1 3 OK once
         expect a 3 served once
         wait 1999
         send b call 1 method=claim token=t rid=4 again=1
         expect b 1 served once
         wait 20
         send b call 2 method=claim token=t rid=5 again=1
         expect processor begin 5
         send b call 3 method=claim token=t rid=6 again=1
         send processor complete 2 5 OK anew
         expect b 2 served anew
         expect b 3 served anew
         expect no processor begin",
    );
}

/// Guards against a crash on the content of operator settings at a reload: the parser recursed for each star of a
/// banner comment, each nesting level and each error, and overflowed the stack of a small thread.
#[test]
fn operator_settings_of_any_shape_are_accepted_or_rejected() {
    const PLAIN: &str = "leave {\n    hold-ms 100\n}\n";
    let mut program = Program::prepare("kdl", |_| ());
    let file = program.folder().join("own.kdl");
    std::fs::write(&file, PLAIN).expect("a file");
    program.start(&["--settings", file.to_str().expect("a path")]);
    program.wait_for_line("serving");
    let banner = format!("/*{}\n * Taken from http://127.0.0.1/a/b/c\n */\n{PLAIN}", "*".repeat(20_000));
    std::fs::write(&file, banner).expect("a file");
    program.signal("HUP");
    program.wait_for_line("reloaded: ");
    for (invalid, message) in [
        ("a {".repeat(5_000), "line 1, column 51: expected blocks within 16"),
        (format!("/* {PLAIN}"), "line 1, column 1: expected the end of this comment"),
        ("}".repeat(5_000), "line 1, column 1: expected no '}'"),
        (scenario::config("127.0.0.1:1", "127.0.0.1:9", "127.0.0.1:9").to_string(), "own.kdl: line 1, "),
        (") = ".repeat(5_000), "own.kdl: line 1, "),
    ] {
        std::fs::write(&file, invalid).expect("a file");
        program.signal("HUP");
        let line = program.wait_for_line("turned down");
        assert!(line.contains(message), "{line}");
    }
    std::fs::write(&file, PLAIN).expect("a file");
    program.signal("HUP");
    program.wait_for_line("reloaded: ");
}
