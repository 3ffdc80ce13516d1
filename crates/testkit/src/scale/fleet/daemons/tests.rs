use super::*;

/// Guards against renamed metrics: the text has the names of the admin endpoint.
#[test]
fn metrics_page_is_parsed_into_figures() {
    let text = "\
# HELP server_operations Final answers\n\
server_operations_total{priority=\"sheet-view\",status=\"fulfilled\"} 7\n\
server_operations_total{priority=\"sheet-view\",status=\"throttled\"} 2\n\
server_fleet_members{state=\"up\"} 11\n\
server_fleet_members{state=\"down\"} 1\n\
server_fleet_heard 12.0\n\
server_fleet_datagrams_total{kind=\"sent\"} 40\n\
server_fleet_datagrams_total{kind=\"taken\"} 38\n\
server_fleet_datagrams_total{kind=\"withheld\"} 3\n\
server_fleet_dropped_total{why=\"tag\"} 1\n\
server_fleet_dropped_total{why=\"late\"} 4\n\
server_fleet_sent_bytes_total 9001\n\
# EOF\n";
    let wanted = ServerFigures {
        up: 11,
        heard: 12,
        sent: 40,
        sent_bytes: 9_001,
        taken: 38,
        dropped: 5,
        withheld: 3,
        asked: 9,
        served: 7,
        ..ServerFigures::default()
    };
    assert_eq!(parse(text), wanted);
}
