//! Scenarios of the whole server on a virtual clock; the language is described in `scenario/mod.rs`.

mod scenario;
use gradepin_admission::{Span, Time};
use gradepin_core::registration::Registration;
use gradepin_registry::instance::Instance;
use gradepin_registry::membership::{Membership, MembershipSettings};
use scenario::play;
use scenario::virtually::Virtually;

fn up(text: &str) {
    play(&mut Virtually::up(), text);
}

#[test]
fn a_request_runs_once_and_is_answered_once() {
    up("send a call 1 rid=1 body=hello
        expect processor begin 1 read hello
        send processor complete 1 1 OK out
        expect a 1 served out
        send processor complete 2 1 OK again
        expect no a 1");
}

#[test]
fn before_the_processor_is_up_health_is_bad_and_requests_are_turned_away() {
    play(
        &mut Virtually::new(),
        "send a health 1
         expect a 1 bad
         send a call 2 rid=1
         expect a 2 refused
         expect no control
         send processor hi COLD 0
         expect control Ready
         send a health 3
         expect a 3 good
         send a call 4 rid=2
         expect processor begin 2",
    );
}

#[test]
fn a_notice_to_leave_before_the_processor_is_up_is_waited_out() {
    // Guards against a turn of the module that was due at once, again and again, with no module there.
    play(
        &mut Virtually::new(),
        "send server TERM
         send a health 1
         expect a draining
         expect a 1 bad
         wait 1000
         send processor hi COLD 0
         expect control NotReady
         send a call 2 rid=1
         wait 3500
         expect exit",
    );
}

#[test]
fn a_cancel_ends_what_is_owed_even_if_it_crosses_the_answer() {
    up("send a call 1 rid=1
        send a cancel 1
        send processor complete 1 1 OK out
        expect no a 1
        send a call 2 rid=2
        send processor complete 2 2 OK out
        expect a 2 served out
        send a cancel 2
        send a call 3 rid=3
        expect processor begin 3");
}

#[test]
fn a_closed_connection_takes_its_requests_along() {
    up("send a call 1 rid=1
        close a
        expect a closed
        send processor complete 1 1 OK out
        expect no a 1
        send b call 1 rid=2
        expect processor begin 2");
}

/// Guards against owed answers lost because their peer sends nothing more: a shut half is no close.
#[test]
fn a_half_closed_connection_is_answered_whole_and_then_closed() {
    up("send a call 1 rid=1
        send a call 2 rid=2
        half-close a
        expect a draining
        expect no a closed
        send processor complete 1 2 OK two
        expect a 2 served two
        expect no a closed
        send processor complete 2 1 OK one
        expect a 1 served one
        expect a closed
        send b health 1
        half-close b
        expect b closed");
}

#[test]
fn a_reused_seqid_closes_the_connection_once_its_first_is_answered_and_a_reused_rid_is_an_exception() {
    up("send a call 1 rid=1
        expect processor begin 1
        send b call 1 rid=1
        expect b 1 invalid the rid
        send a call 1 rid=2
        expect a draining
        send a call 2 rid=3
        expect a 2 refused
        expect no a closed
        send processor complete 1 1 OK out
        expect a 1 served out
        expect a closed
        expect no processor begin
        send b health 2
        expect b 2 good");
}

#[test]
fn what_makes_no_sense_gets_an_exception() {
    up("send a call 1 method=novelty
        expect a 1 invalid unknown method \"novelty\"
        send a call 2 acct=nobody
        expect a 2 invalid unknown tenant \"nobody\"
        send a call 3 mem=0
        expect a 3 invalid mem out of range
        send a call 4 mem=NaN
        expect a 4 invalid mem out of range
        send a call 5 method=claim
        expect a 5 invalid no token
        send a call 6 t0=0 budget=soon
        expect a 6 invalid no number as budget
        expect no processor begin");
}

#[test]
fn a_repeat_of_a_running_request_waits_for_its_result() {
    up("send a call 1 method=claim token=t rid=1
        expect processor begin 1 claim
        send b call 1 method=claim token=t rid=2
        expect no b 1
        send processor complete 1 1 OK out
        expect a 1 served out
        expect b 1 served out
        send a call 2 method=claim token=t rid=3
        expect a 2 served out
        expect no processor begin");
}

#[test]
fn a_repeat_of_a_cancelled_run_gets_its_result() {
    up("send a call 1 method=claim token=t rid=1
        expect processor begin 1
        send a cancel 1
        send a call 2 method=claim token=t rid=2
        send processor complete 1 1 OK out
        expect a 2 served out
        expect no a 1
        expect no processor begin");
}

#[test]
fn a_repeat_of_a_failed_run_fails_and_does_not_run() {
    up("send a call 1 method=claim token=t rid=1
        expect processor begin 1
        send b call 1 method=claim token=t rid=2
        send processor complete 1 1 ERROR
        expect a 1 failed
        expect b 1 failed
        send a call 2 method=claim token=t rid=3
        expect a 2 failed
        expect no processor begin");
}

#[test]
fn a_run_that_was_never_started_leaves_the_key_free() {
    up("send a call 1 method=claim token=t rid=1
        expect processor begin 1
        send a cancel 1
        send processor complete 1 1 MOOT
        send a call 2 method=claim token=t rid=2
        expect processor begin 2");
}

#[test]
fn within_the_window_from_t0_nothing_runs_again() {
    // The window is 9 s. The last repeat was sent within it, but read after the entry had run out.
    up("open a
        wait 500
        send a call 1 method=claim token=t rid=1 t0=-500
        expect processor begin 1
        send processor complete 1 1 OK out
        wait 8400
        send b call 1 method=claim token=t rid=2
        expect b 1 served out
        wait 300
        send b call 2 method=claim token=t rid=3 t0=-250
        expect b 2 served out
        expect no processor begin
        send b call 3 method=claim token=t rid=4
        expect processor begin 4");
}

#[test]
fn a_stamp_from_the_future_counts_as_now() {
    up("send a call 1 method=claim token=t rid=1 t0=9000000000000000000
        expect processor begin 1
        send processor complete 1 1 OK out
        wait 9100
        send b call 1 method=claim token=t rid=2
        expect processor begin 2
        wait 3990
        expect no b 1
        wait 20
        expect b 1 failed");
}

/// Guards against a second run within an older run's window, and against two tries that both end without a result: the one
/// stamped first may belong to that older run, so it fails, and the other runs.
#[test]
fn of_two_read_together_in_the_other_order_the_later_stamped_runs() {
    up("open a
        wait 500
        send a + call 1 method=claim token=t rid=1
        send a call 2 method=claim token=t rid=2 t0=-20
        expect a 2 failed
        expect processor begin 1
        send processor complete 1 1 OK out
        expect a 1 served out
        expect no processor begin");
}

#[test]
fn two_tries_that_arrive_together_run_once() {
    up("send a + call 1 method=claim token=t rid=1
        send b call 1 method=claim token=t rid=2
        expect processor begin
        expect no processor begin
        send processor complete 1 2 OK out
        expect b 1 served out
        expect a 1 refused");
}

#[test]
fn a_fallen_link_loses_no_request() {
    // The first begin was proven by an answered question, the second may be lost; the third came meanwhile.
    up("send a call 1 rid=1
        expect processor begin 1
        wait 150
        send processor mute
        send a call 2 rid=2
        expect processor begin 2
        close processor
        send a call 3 rid=3
        expect no processor begin
        send processor hi WARM 1000
        expect no processor begin
        send processor unmute
        close processor
        send processor hi WARM 1000
        expect processor begin 2
        expect processor begin 3
        expect no processor begin
        send processor complete 1 1 OK one
        expect a 1 served one");
    up("send processor mute
        send a call 1 rid=1
        expect processor begin 1
        close processor
        send a call 2 rid=2
        send processor unmute
        send processor hi WARM 1000
        expect processor begin 1
        expect processor begin 2
        send processor complete 1 2 OK two
        expect a 2 served two
        send processor complete 1 1 OK old
        expect no a 1
        send processor complete 2 1 OK one
        expect a 1 served one");
}

#[test]
fn what_ended_while_the_link_was_down_is_not_begun_again() {
    up("send processor mute
        send a call 1 rid=1
        expect processor begin 1
        close processor
        send processor hi WARM 1000
        send processor complete 1 1 OK one
        expect a 1 served one
        send processor unmute
        wait 200
        expect no processor begin");
}

#[test]
fn a_processor_that_restarts_alone_fails_its_runs_and_is_served_on() {
    // Guards against runs that stay in the books for ever, and notices taken for old ones.
    up("send a call 1 rid=1
        send processor complete 1 1 OK one
        send a call 2 rid=2
        expect processor begin 2
        close processor
        wait 3000
        send processor hi COLD 100
        expect a 2 failed
        send a call 3 rid=3
        expect processor begin 3
        send processor complete 1 3 OK three
        expect a 3 served three");
}

#[test]
fn a_rejected_begin_is_answered() {
    up("send a call 1 rid=1
        send processor reject 1
        expect a 1 failed");
}

#[test]
fn timers_fire_and_what_is_due_is_answered_with_the_link_down_or_silent() {
    up("send a call 1 rid=1 budget=1000
        close processor
        wait 990
        expect no a 1
        wait 20
        expect a 1 failed");
    up("send a call 1 rid=1 budget=1000
        send processor mute
        wait 1040
        expect a 1 failed
        expect no renew
        wait 5000
        expect renew");
}

/// Guards against a site whose callers don't tell how long they wait (`propagates_deadline` off): the field is absent there, and
/// every request was turned down as one that makes no sense. The deadline of its class, 4 s here, counts then.
#[test]
fn a_request_without_a_budget_is_due_at_the_deadline_of_its_class() {
    up("send a call 1 rid=1 budget=-
        expect processor begin 1
        send processor complete 1 1 OK out
        expect a 1 served out
        send a call 2 rid=2 t0=-1000 budget=-
        expect processor begin 2
        wait 2900
        expect no a 2
        wait 200
        expect a 2 failed");
}

#[test]
fn time_waited_unread_counts_from_t0() {
    up("send a call 1 rid=1 t0=-800 budget=1000
        wait 190
        expect no a 1
        wait 20
        expect a 1 failed");
}

#[test]
fn reports_repeat_well_inside_their_lapse() {
    up("expect control Ready
        wait 900
        expect control Ready
        wait 900
        expect control Ready");
}

#[test]
fn a_server_told_to_leave_answers_everything_and_starts_nothing_late() {
    // Grace is 1 s, the stop comes after 2 s; nobody ends the process before it.
    up("send a call 1 rid=1 budget=4000
        expect processor begin 1
        expect control Ready
        send server TERM
        expect a draining
        expect control NotReady
        expect no control Ready
        send a health 2
        expect a 2 bad
        wait 1100
        send b call 1 rid=2
        expect b draining
        expect b 1 refused
        expect no processor begin
        expect no a 1
        wait 850
        expect a 1 failed
        wait 1000
        expect no exit
        wait 1100
        expect exit");
}

#[test]
fn idle_connections_are_asked_to_drain_and_closed_only_if_they_stay() {
    up("send a call 1 rid=1
        send b health 1
        wait 1000
        expect no b draining
        wait 800
        expect b draining
        expect no b closed
        wait 1500
        expect b closed
        expect no a draining");
}

#[test]
fn a_reload_moves_the_link_and_the_reports_and_settles_what_was_under_way() {
    // Guards against commands lost with the old link, and a new control plane that hears nothing for a while.
    up("send processor mute
        send a call 1 rid=1
        expect processor begin 1
        expect control Ready
        send server HUP moved
        expect link to 127.0.0.1:8
        expect reports to 127.0.0.1:9
        expect control Ready
        close processor
        send processor unmute
        send processor hi WARM 1000
        expect processor begin 1
        send processor complete 1 1 OK out
        expect a 1 served out
        send server HUP moved
        expect no link to");
}

#[test]
fn a_token_with_another_body_or_class_is_an_exception_and_never_served() {
    // Guards against a stranger served with the result of a run whose token it sent with a body of its own:
    // while the first try is held, runs and has ended, and when both come together.
    up("send a call 1 method=claim token=t rid=1 body=mine
        expect processor begin 1
        send b call 1 method=claim token=t rid=2 body=other
        expect b 1 invalid the token
        send processor complete 1 1 OK out
        expect a 1 served out
        send b call 2 method=claim token=t rid=3 body=other
        expect b 2 invalid the token
        send b call 3 method=claim token=t rid=4 body=mine
        expect b 3 served out
        send a + call 2 method=claim token=u rid=5 body=mine
        send b call 4 method=claim token=u rid=6 body=other
        expect b 4 invalid the token
        expect processor begin 5 claim mine
        expect no processor begin");
}

#[test]
fn a_full_table_makes_room_by_closing_what_rests() {
    // Guards against silent connections, hundreds at a time, that keep clients and health checks out. What has a
    // request open is never closed for room, and what once spoke only after all that never did.
    let silent = |from, to| (from..to).map(|n| format!("open s{n}\n")).collect::<String>();
    up(&format!(
        "send a call 1 rid=1
         expect processor begin 1
         send b health 1
         expect b 1 good
         {}
         expect no s0 closed
         wait 50
         {}
         expect no s0 closed
         wait 60
         open late
         expect s0 closed
         expect no s1 closed
         expect no a closed
         expect no b closed
         send h health 1
         expect h 1 good
         send processor complete 1 1 OK out
         expect a 1 served out",
        silent(0, 800),
        silent(800, 1000),
    ));
}

#[test]
fn the_33rd_request_open_on_a_connection_is_refused_at_once() {
    // Guards against requests past the window left unread: behind them, neither cancels nor the close are seen.
    // The repeats wait for the first one's run, so that the window alone turns one away.
    let repeats: String =
        (2..=32).map(|n| format!("send a call {n} method=claim token=t rid={n}\n")).collect();
    up(&format!(
        "send a call 1 method=claim token=t rid=1
         expect processor begin 1
         {repeats}
         expect no a
         send a call 33 method=claim token=t rid=33
         expect a 33 refused
         send a cancel 2
         send a call 34 method=claim token=t rid=34
         send processor complete 1 1 OK out
         expect a 34 served out
         expect no a 2"
    ));
}

#[test]
fn a_change_of_state_is_reported_more_than_once_at_once() {
    // Guards against a change that the list hears of half a second late, or never: reports get lost.
    up("wait 1000
        send server TERM
        wait 150
        expect control NotReady
        expect control NotReady
        expect control NotReady
        expect no control NotReady
        wait 900
        expect control NotReady
        expect control NotReady");
}

#[test]
fn figures_out_of_range_do_not_reach_the_module() {
    // Guards against a stranger's figures that sway what the module thinks of queueing: a budget of years is an
    // exception, and a stamp of long ago on a new connection is no time spent unread there. The level told on
    // answers rises with that.
    let ancient: String =
        (1..=3).map(|n| format!("send a{n} call 1 rid={n} t0=-900\nexpect processor begin {n}\n")).collect();
    let mut stage = Virtually::with(|config| config["settings"]["specifics"]["advert"] = "threshold".into());
    let text = format!(
        "send processor hi WARM 0
         send b call 1 rid=99 budget=99999999999
         expect b 1 invalid budget out of range
         wait 200
         send b health 2
         expect b 2 good hint=0
         {ancient}
         wait 200
         send b health 3
         expect b 3 good hint=0"
    );
    play(&mut stage, &text);
}

#[test]
fn more_bodies_than_the_memory_holds_are_refused_and_room_comes_back() {
    // Guards against many connections that each stay within their window, and together fill the memory. The
    // repeats wait for one run, so that the module turns none of them away.
    let body = "x".repeat(2000);
    let mut text = String::new();
    for conn in 0..50 {
        for seq in 1..=30 {
            let rid = conn * 30 + seq;
            text +=
                &format!("send c{conn} + call {seq} method=claim token=t mem=0.01 rid={rid} body={body}\n");
        }
    }
    let text = format!(
        "send processor hi WARM 0
         send a call 1 method=claim token=t rid=90000 body={body}
         expect processor begin 90000
         {text}
         send a call 2 method=claim token=u rid=90001
         expect a 2 refused
         expect no c0 1
         send processor complete 1 90000 OK out
         expect c0 1 served out
         send a call 3 method=claim token=u rid=90002
         expect processor begin 90002"
    );
    play(&mut Virtually::with(|config| config["limits"]["memory_mb"] = 16.into()), &text);
}

#[test]
fn a_processor_seen_late_after_a_pause_is_the_same_one() {
    // Guards against a pause of the machine taken for another processor: its greeting, written before the pause
    // and read after it, made its start look late, and all that ran was failed.
    up("send a call 1 rid=1 budget=4000
        expect processor begin 1
        wait 1000
        close processor
        wait 1500
        send processor hi WARM 1600
        send processor complete 1 1 OK out
        expect a 1 served out");
    // Nor for a greeting that took some milliseconds, of a processor that told nothing since its first one.
    up("send processor mute
        send a call 1 rid=1
        expect processor begin 1
        wait 300
        close processor
        send processor hi WARM 295
        send processor complete 1 1 OK out
        expect a 1 served out");
}

const MS: u64 = 1_000_000;

#[test]
fn a_planned_leave_is_told_at_once_and_drains_only_when_callers_know() {
    // Guards against arrivals turned away while callers' lists can still hold the server.
    play(
        &mut Virtually::registered(Registration::new(None, Span(3_000 * MS))),
        "send a call 1 rid=1
         expect processor begin 1
         send server OUT
         expect control NotReady
         wait 2000
         send a call 2 rid=2
         expect processor begin 2
         send processor complete 1 2 OK out
         expect a 2 served out
         expect no a draining
         wait 1100
         expect a draining
         send processor complete 2 1 OK late
         expect a 1 served late",
    );
}

#[test]
fn an_order_to_come_back_ends_a_planned_leave_that_has_not_begun_to_drain() {
    play(
        &mut Virtually::registered(Registration::new(None, Span(3_000 * MS))),
        "send a call 1 rid=9
         send server OUT
         expect control NotReady
         wait 1000
         send server IN
         wait 2500
         expect control Ready
         expect no a draining
         send server TERM
         expect a draining
         send server IN
         send b call 1 rid=1
         expect b draining",
    );
}

#[test]
fn a_drain_waits_for_no_registry() {
    // Guards against a leave that a registry which never answers holds up: here none of its answers ever comes.
    let set = MembershipSettings {
        instance: Instance { id: "n1".into(), app: "TILES".into(), ..Instance::default() },
        urls: 2,
        heartbeat: Span(30_000 * MS),
        timeout: Span(2_000 * MS),
        min_change_interval: Span(1_000 * MS),
        stabilization_period: Span(0),
        ready_share: 0.6,
        cold_capacity: 0.25,
        cold: Span(10_000 * MS),
        preferred_retry_interval: Span(60_000 * MS),
        cancel: true,
    };
    let membership = Membership::new(set, 7, Time(0));
    play(
        &mut Virtually::registered(Registration::new(Some(membership), Span(0))),
        "expect registry Register
         send a call 1 rid=1
         expect processor begin 1
         send server TERM
         expect registry Override
         expect a draining
         send b call 1 rid=2
         expect processor begin 2
         wait 1050
         send b call 2 rid=3
         expect b 2 refused
         expect no processor begin 3
         wait 850
         expect a 1 failed
         expect b 1 failed
         expect control NotReady
         wait 2200
         expect exit",
    );
}
