//! What a processor does wrong.

use crate::drill::faults::plan::Rejected;

/// A notice that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    /// After so many bytes.
    pub after: usize,
    /// By a reset, or by an orderly end.
    pub resets: bool,
    /// So many times more.
    pub times: usize,
}

/// What a processor does wrong; by default nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// Its address is closed.
    pub refuses: bool,
    /// It takes the link and doesn't greet.
    pub holds_hi: bool,
    /// It reads nothing.
    pub holds_reads: bool,
    /// No run ends.
    pub holds_runs: bool,
    /// It ends the link after so many more bytes, so many times.
    pub cut_commands: Option<Cut>,
    /// It ends the link within the next notice.
    pub cut_notices: Option<Cut>,
    /// It tells all kept notices at each link, also those that were read.
    pub repeats: bool,
    /// It tells each two notices in the wrong order.
    pub out_of_order: bool,
    /// Before the end of each run it tells a remark of this length.
    pub remark: Option<usize>,
    /// All results have this length.
    pub result_length: Option<usize>,
    /// It rejects.
    pub reject: Option<Rejected>,
    /// How runs end.
    pub end: &'static str,
    /// It writes one byte at a time.
    pub byte_by_byte: bool,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            refuses: false,
            holds_hi: false,
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
    /// The cut of the next notice, which is used up by it.
    pub fn take_notice_cut(&mut self) -> Option<Cut> {
        take(&mut self.cut_notices)
    }

    /// The cut of the commands of a new link, which is used up by it.
    pub fn take_command_cut(&mut self) -> Option<Cut> {
        take(&mut self.cut_commands)
    }
}

fn take(cut: &mut Option<Cut>) -> Option<Cut> {
    let taken = (*cut)?;
    *cut = (taken.times > 1).then_some(Cut { times: taken.times - 1, ..taken });
    Some(taken)
}
