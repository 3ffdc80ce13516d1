//! Scenarios of the whole server on a virtual clock; `scenario/mod.rs` describes the language.

mod scenario;
use gradepin_admission::{Span, Time};
use gradepin_core::registration::Registration;
use gradepin_registry::instance::Instance;
use gradepin_registry::membership::{Membership, MembershipSettings};
use scenario::play;
use scenario::virtual_stage::VirtualStage;

/// Executes a scenario on a server whose processor has greeted.
fn play_ready(text: &str) {
    play(&mut VirtualStage::ready(), text);
}

#[test]
fn a_request_runs_once_and_is_answered_once() {
    play_ready(
        "send a call 1 rid=1 body=hello
        expect processor begin 1 read hello
        send processor complete 1 1 OK out
        expect a 1 served out
        send processor complete 2 1 OK again
        expect no a 1",
    );
}

#[test]
fn before_the_processor_is_up_health_is_bad_and_requests_are_rejected() {
    play(
        &mut VirtualStage::new(),
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
fn sigterm_before_the_processor_is_up_drains_until_exit() {
    // Guards against an admission timer that was due immediately, again and again, because admission had no processor
    // yet.
    play(
        &mut VirtualStage::new(),
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
fn a_cancel_ends_a_request_even_if_it_crosses_the_answer() {
    play_ready(
        "send a call 1 rid=1
        send a cancel 1
        send processor complete 1 1 OK out
        expect no a 1
        send a call 2 rid=2
        send processor complete 2 2 OK out
        expect a 2 served out
        send a cancel 2
        send a call 3 rid=3
        expect processor begin 3",
    );
}

#[test]
fn a_closed_connection_drops_its_open_requests() {
    play_ready(
        "send a call 1 rid=1
        close a
        expect a closed
        send processor complete 1 1 OK out
        expect no a 1
        send b call 1 rid=2
        expect processor begin 2",
    );
}

/// Guards against losing answers because the peer sends nothing more: a half-close is not a close.
#[test]
fn a_half_closed_connection_gets_every_answer_before_it_closes() {
    play_ready(
        "send a call 1 rid=1
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
        expect b closed",
    );
}

#[test]
fn a_reused_seqid_closes_the_connection_after_its_answer_and_a_reused_rid_is_invalid() {
    play_ready(
        "send a call 1 rid=1
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
        expect b 2 good",
    );
}

#[test]
fn an_invalid_request_gets_an_exception() {
    play_ready(
        "send a call 1 method=novelty
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
        expect no processor begin",
    );
}

#[test]
fn a_retry_of_a_running_request_waits_for_its_result() {
    play_ready(
        "send a call 1 method=claim token=t rid=1
        expect processor begin 1 claim
        send b call 1 method=claim token=t rid=2
        expect no b 1
        send processor complete 1 1 OK out
        expect a 1 served out
        expect b 1 served out
        send a call 2 method=claim token=t rid=3
        expect a 2 served out
        expect no processor begin",
    );
}

#[test]
fn a_retry_of_a_cancelled_run_gets_its_result() {
    play_ready(
        "send a call 1 method=claim token=t rid=1
        expect processor begin 1
        send a cancel 1
        send a call 2 method=claim token=t rid=2
        send processor complete 1 1 OK out
        expect a 2 served out
        expect no a 1
        expect no processor begin",
    );
}

#[test]
fn a_retry_of_a_failed_run_fails_without_a_run() {
    play_ready(
        "send a call 1 method=claim token=t rid=1
        expect processor begin 1
        send b call 1 method=claim token=t rid=2
        send processor complete 1 1 ERROR
        expect a 1 failed
        expect b 1 failed
        send a call 2 method=claim token=t rid=3
        expect a 2 failed
        expect no processor begin",
    );
}

#[test]
fn a_run_that_was_never_started_leaves_the_key_free() {
    play_ready(
        "send a call 1 method=claim token=t rid=1
        expect processor begin 1
        send a cancel 1
        send processor complete 1 1 MOOT
        send a call 2 method=claim token=t rid=2
        expect processor begin 2",
    );
}

#[test]
fn no_retry_runs_within_the_window_counted_from_t0() {
    // The window is 9 s. The second retry was sent within it but read after the entry expired.
    play_ready(
        "open a
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
        expect processor begin 4",
    );
}

#[test]
fn a_timestamp_in_the_future_counts_as_now() {
    play_ready(
        "send a call 1 method=claim token=t rid=1 t0=9000000000000000000
        expect processor begin 1
        send processor complete 1 1 OK out
        wait 9100
        send b call 1 method=claim token=t rid=2
        expect processor begin 2
        wait 3990
        expect no b 1
        wait 20
        expect b 1 failed",
    );
}

/// Guards against a second run within the window of an earlier run, and against two attempts that both end without a
/// result. The attempt with the earlier timestamp may belong to the earlier run, so it fails and the other one runs.
#[test]
fn of_two_attempts_read_together_out_of_order_the_later_stamped_one_runs() {
    play_ready(
        "open a
        wait 500
        send a + call 1 method=claim token=t rid=1
        send a call 2 method=claim token=t rid=2 t0=-20
        expect a 2 failed
        expect processor begin 1
        send processor complete 1 1 OK out
        expect a 1 served out
        expect no processor begin",
    );
}

#[test]
fn two_attempts_that_arrive_together_run_once() {
    play_ready(
        "send a + call 1 method=claim token=t rid=1
        send b call 1 method=claim token=t rid=2
        expect processor begin
        expect no processor begin
        send processor complete 1 2 OK out
        expect b 1 served out
        expect a 1 refused",
    );
}

#[test]
fn a_link_failure_loses_no_request() {
    // An answered gauge query proves that the first `begin` arrived; the second may be lost; the third request
    // arrives while the link is down.
    play_ready(
        "send a call 1 rid=1
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
        expect a 1 served one",
    );
    play_ready(
        "send processor mute
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
        expect a 1 served one",
    );
}

#[test]
fn a_run_that_ended_while_the_link_was_down_is_not_begun_again() {
    play_ready(
        "send processor mute
        send a call 1 rid=1
        expect processor begin 1
        close processor
        send processor hi WARM 1000
        send processor complete 1 1 OK one
        expect a 1 served one
        send processor unmute
        wait 200
        expect no processor begin",
    );
}

#[test]
fn a_processor_restart_fails_its_runs_and_later_requests_are_served() {
    // Guards against runs that are tracked forever, and against treating notices of the new processor as old ones.
    play_ready(
        "send a call 1 rid=1
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
        expect a 3 served three",
    );
}

#[test]
fn a_rejected_begin_is_answered() {
    play_ready(
        "send a call 1 rid=1
        send processor reject 1
        expect a 1 failed",
    );
}

#[test]
fn due_requests_are_answered_while_the_link_is_down_or_silent() {
    play_ready(
        "send a call 1 rid=1 budget=1000
        close processor
        wait 990
        expect no a 1
        wait 20
        expect a 1 failed",
    );
    play_ready(
        "send a call 1 rid=1 budget=1000
        send processor mute
        wait 1040
        expect a 1 failed
        expect no renew
        wait 5000
        expect renew",
    );
}

/// Guards a deployment whose callers do not send their remaining budget (`propagates_deadline` off): the field is
/// absent there, and every request was rejected as invalid. The class deadline applies instead, 4 s here.
#[test]
fn a_request_without_a_budget_is_due_at_the_deadline_of_its_class() {
    play_ready(
        "send a call 1 rid=1 budget=-
        expect processor begin 1
        send processor complete 1 1 OK out
        expect a 1 served out
        send a call 2 rid=2 t0=-1000 budget=-
        expect processor begin 2
        wait 2900
        expect no a 2
        wait 200
        expect a 2 failed",
    );
}

#[test]
fn time_spent_unread_counts_from_t0() {
    play_ready(
        "send a call 1 rid=1 t0=-800 budget=1000
        wait 190
        expect no a 1
        wait 20
        expect a 1 failed",
    );
}

#[test]
fn reports_repeat_well_before_they_expire() {
    play_ready(
        "expect control Ready
        wait 900
        expect control Ready
        wait 900
        expect control Ready",
    );
}

#[test]
fn a_draining_server_answers_everything_and_starts_no_run_after_the_grace_period() {
    // The grace period is 1 s and the stop time 2 s; all is answered, closed and ended before that.
    play_ready(
        "send a call 1 rid=1 budget=4000
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
        wait 600
        expect no exit
        wait 250
        expect a 1 failed
        expect a closed
        expect b closed
        expect exit",
    );
}

#[test]
fn idle_connections_are_asked_to_drain_and_closed_if_they_stay() {
    play_ready(
        "send a call 1 rid=1
        send b health 1
        wait 1000
        expect no b draining
        wait 800
        expect b draining
        expect no b closed
        wait 1500
        expect b closed
        expect no a draining",
    );
}

#[test]
fn a_reload_moves_the_link_and_the_reports_and_completes_open_requests() {
    // Guards against losing commands with the old link, and against a new control plane that gets no report for a
    // while.
    play_ready(
        "send processor mute
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
        expect no link to",
    );
}

#[test]
fn a_token_with_another_body_or_class_is_invalid_and_never_served() {
    // Guards against serving the result of a run to another client that sends its token with a different body: while
    // the first attempt waits, runs and has ended, and when both arrive together.
    play_ready(
        "send a call 1 method=claim token=t rid=1 body=mine
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
        expect no processor begin",
    );
}

#[test]
fn a_full_connection_table_closes_idle_connections() {
    // Guards against hundreds of silent connections that lock out clients and health checks. A connection with an
    // open request is never evicted, and one that has sent a message only after all that never did.
    let silent = |from, to| (from..to).map(|n| format!("open s{n}\n")).collect::<String>();
    play_ready(&format!(
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
fn the_33rd_open_request_on_a_connection_is_rejected_at_once() {
    // Guards against leaving requests beyond the per-connection window unread: cancels and the close behind them
    // would not be seen. The retries wait for the first run, so only the window can cause an answer at once: a failure
    // for a further retry, whose operation runs, and a refusal for what never ran.
    let repeats: String =
        (2..=32).map(|n| format!("send a call {n} method=claim token=t rid={n}\n")).collect();
    play_ready(&format!(
        "send a call 1 method=claim token=t rid=1
         expect processor begin 1
         {repeats}
         expect no a
         send a call 33 method=claim token=t rid=33
         expect a 33 failed
         send a call 35 rid=35
         expect a 35 refused
         send a cancel 2
         send a call 34 method=claim token=t rid=34
         send processor complete 1 1 OK out
         expect a 34 served out
         expect no a 2"
    ));
}

#[test]
fn a_readiness_change_is_reported_repeatedly_at_once() {
    // Guards against a readiness change that reaches the server list half a second late or never because a report was
    // lost.
    play_ready(
        "wait 1000
        send server TERM
        wait 150
        expect control NotReady
        expect control NotReady
        expect control NotReady
        expect no control NotReady
        wait 900
        expect control NotReady
        expect control NotReady",
    );
}

#[test]
fn values_out_of_range_do_not_reach_admission() {
    // Guards against client values that distort the queueing estimate: a budget of years is an exception, and an old
    // timestamp on a new connection does not count as time spent unread. The capacity hint in answers would rise with
    // that.
    let ancient: String =
        (1..=3).map(|n| format!("send a{n} call 1 rid={n} t0=-900\nexpect processor begin {n}\n")).collect();
    let mut stage =
        VirtualStage::with(|config| config["settings"]["specifics"]["advert"] = "threshold".into());
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
fn bodies_beyond_the_memory_limit_are_rejected_until_memory_is_free_again() {
    // Guards against many connections that each stay within their window but together fill the memory. The retries
    // wait for one run, so admission rejects none of them.
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
    play(&mut VirtualStage::with(|config| config["limits"]["memory_mb"] = 16.into()), &text);
}

#[test]
fn a_processor_greeting_read_late_after_a_pause_is_from_the_same_processor() {
    // Guards against mistaking a pause of the machine for a processor restart: a greeting written before the pause
    // and read after it made the start time look later, and all runs were failed.
    play_ready(
        "send a call 1 rid=1 budget=4000
        expect processor begin 1
        wait 1000
        close processor
        wait 1500
        send processor hi WARM 1600
        send processor complete 1 1 OK out
        expect a 1 served out",
    );
    // The same applies to a greeting that took a few milliseconds, from a processor that has sent nothing since its
    // first one.
    play_ready(
        "send processor mute
        send a call 1 rid=1
        expect processor begin 1
        wait 300
        close processor
        send processor hi WARM 295
        send processor complete 1 1 OK out
        expect a 1 served out",
    );
}

const MS: u64 = 1_000_000;

#[test]
fn a_planned_leave_is_reported_at_once_and_drains_after_the_hold_time() {
    // Guards against rejecting requests while callers' server lists may still contain this server.
    play(
        &mut VirtualStage::registered(Registration::new(None, Span(3_000 * MS))),
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
fn a_return_to_service_ends_a_planned_leave_that_has_not_begun_to_drain() {
    play(
        &mut VirtualStage::registered(Registration::new(None, Span(3_000 * MS))),
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
fn a_drain_does_not_wait_for_the_registry() {
    // Guards against a drain that an unresponsive registry delays: here the registry never answers.
    let settings = MembershipSettings {
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
    let membership = Membership::new(settings, 7, Time(0));
    play(
        &mut VirtualStage::registered(Registration::new(Some(membership), Span(0))),
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
