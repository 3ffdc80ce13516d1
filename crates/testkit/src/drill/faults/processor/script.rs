//! The scripted misbehaviour of the processor.

use crate::drill::faults::plan::Rejected;

/// A cut of commands or notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    /// Bytes that are let through before the cut.
    pub after: usize,
    /// Whether the link is reset rather than closed in order.
    pub resets: bool,
    /// Number of cuts that remain, this one included.
    pub times: usize,
}

/// The processor's misbehaviour; the default is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// Refuses connections.
    pub refuses: bool,
    /// Accepts the link and sends no greeting.
    pub holds_greeting: bool,
    /// Reads nothing from the links.
    pub holds_reads: bool,
    /// Completes no run.
    pub holds_runs: bool,
    /// Closes a link after a number of bytes of commands.
    pub cut_commands: Option<Cut>,
    /// Closes the link within the next notice.
    pub cut_notices: Option<Cut>,
    /// Sends all stored notices on each new link, including those already read.
    pub repeats: bool,
    /// Swaps each pair of consecutive notices.
    pub out_of_order: bool,
    /// Sends a remark of this length, in bytes, before the end of each run.
    pub remark: Option<usize>,
    /// Length of all results, in bytes.
    pub result_length: Option<usize>,
    /// The requests that it rejects, if any.
    pub reject: Option<Rejected>,
    /// The status with which runs end.
    pub end: &'static str,
    /// Writes one byte at a time.
    pub byte_by_byte: bool,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            refuses: false,
            holds_greeting: false,
            holds_reads: false,
            holds_runs: false,
            cut_commands: None,
            cut_notices: None,
            repeats: false,
            out_of_order: false,
            remark: None,
            result_length: None,
            reject: None,
            end: "OK",
            byte_by_byte: false,
        }
    }
}

impl Script {
    /// Takes one cut for the next notice.
    pub fn take_notice_cut(&mut self) -> Option<Cut> {
        take(&mut self.cut_notices)
    }

    /// Takes one cut for the commands of a new link.
    pub fn take_command_cut(&mut self) -> Option<Cut> {
        take(&mut self.cut_commands)
    }
}

fn take(cut: &mut Option<Cut>) -> Option<Cut> {
    let taken = (*cut)?;
    *cut = (taken.times > 1).then_some(Cut { times: taken.times - 1, ..taken });
    Some(taken)
}
