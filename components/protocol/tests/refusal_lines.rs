//! Log lines about refused connections.

mod common;

use std::sync::Mutex;

use common::{send_raw, start_agent};
use log::{LevelFilter, Log, Metadata, Record};
use protocol::LinkEvent;

struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let mut lines = self.0.lock().expect("lines");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

// A client that sends HTTP calls to a port of the protocol wrote a line with each call.
#[test]
fn refusals_of_one_cause_write_one_line_a_second() {
    log::set_logger(&LINES).expect("logger");
    log::set_max_level(LevelFilter::Info);
    let elapsed = runtime::run(async {
        let server = start_agent(4);
        let started = std::time::Instant::now();
        for _ in 0..20 {
            send_raw(server.address, b"GET / HTTP/1.1\r\n\r\n".to_vec()).await;
        }
        assert_eq!(server.counters.get(LinkEvent::Garbage), 20);
        started.elapsed()
    })
    .unwrap();
    let lines = LINES.0.lock().expect("lines");
    let refusals = lines
        .iter()
        .filter(|line| line.contains("refused: garbage"));
    let count = refusals.count() as u64;
    assert!((1..=1 + elapsed.as_secs()).contains(&count), "{lines:?}");
}
