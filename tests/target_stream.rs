//! Streams of a target that do not end as they should.

use std::io::{
    Read,
    repeat, //
};

use cuminloom::target::EventReader;

/// Reads `line` again and again.
struct Repeated {
    line: &'static [u8],
    at: usize,
    taken: usize,
}

impl Read for Repeated {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        for byte in buf.iter_mut() {
            *byte = self.line[self.at];
            self.at = (self.at + 1) % self.line.len();
        }
        self.taken += buf.len();
        assert!(self.taken < 64 << 20, "64 MiB were read");
        Ok(buf.len())
    }
}

/// Guards against reading comments without end until the caller's deadline.
#[test]
fn a_stream_of_comments_ends() {
    let input = Repeated {
        line: b": still there\n",
        at: 0,
        taken: 0,
    };
    let mut events = EventReader::new(input);
    assert!(events.next().unwrap().is_err());
    assert!(events.next().is_none());
}

/// Guards against reading a line without end.
#[test]
fn a_line_without_end_is_cut_off() {
    let mut events = EventReader::new(repeat(b'm'));
    assert!(events.next().unwrap().is_err());
}
