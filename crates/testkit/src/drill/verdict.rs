//! The verdict of a drill: claims that hold whatever the machine does, claims that rest on its speed, and whether it was late.
//!
//! On a machine that was late past the stated bounds the claims that rest on its speed are neither kept nor not kept, and the run
//! is not scored. It never counts as kept, also if all claims would have been kept: else a late machine could only turn up
//! runs that pass. A claim that holds whatever the machine does is judged all the same.

use std::fmt::{self, Display};

#[cfg(test)]
mod tests;

/// What a drill came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// All claims are kept.
    Kept,
    /// One is not.
    NotKept,
    /// The machine was late, and nothing that it can't excuse is broken.
    NotScored,
}

/// The error that ends the program with a status of its own where a run is not scored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not scored: the machine was late; this run is neither kept nor not kept")]
pub struct NotScored;

impl NotScored {
    /// The exit status; 0 is kept, 1 not kept, 2 a call that makes no sense or a rig that could not be set up.
    pub const EXIT_STATUS: u8 = 3;
}

impl Verdict {
    /// Of two runs together: broken if one is, and only kept if both are.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotKept, _) | (_, Self::NotKept) => Self::NotKept,
            (Self::NotScored, _) | (_, Self::NotScored) => Self::NotScored,
            (Self::Kept, Self::Kept) => Self::Kept,
        }
    }

    /// Whether it is kept, or the error of a run that isn't scored.
    pub fn kept(self) -> Result<bool, NotScored> {
        match self {
            Self::Kept => Ok(true),
            Self::NotKept => Ok(false),
            Self::NotScored => Err(NotScored),
        }
    }
}

impl Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kept => "kept",
            Self::NotKept => "NOT KEPT",
            Self::NotScored => "not scored",
        })
    }
}

/// What a claim rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// It holds whatever the machine does.
    Always,
    /// It is about times and rates, which a late machine changes.
    Timed,
}

/// Claims with their figures, as they are printed.
#[derive(Debug, Default)]
pub struct Claims {
    lines: Vec<(Kind, bool, String)>,
    /// By what the machine was late.
    late: Option<String>,
}

impl Claims {
    /// For a run on a machine that was late by this much, if it was past the bounds.
    pub fn on_machine(late: Option<String>) -> Self {
        if let Some(late) = &late {
            println!("not scored: the machine was late by {late}");
        }
        Self { lines: Vec::new(), late }
    }

    /// A claim that holds whatever the machine does, whether it is kept, and its figure.
    pub fn claim(&mut self, kept: bool, what: &str, figure: impl Display) {
        self.add(Kind::Always, kept, what, &figure);
    }

    /// A claim that rests on the machine's speed.
    pub fn timed(&mut self, kept: bool, what: &str, figure: impl Display) {
        self.add(Kind::Timed, kept, what, &figure);
    }

    fn add(&mut self, kind: Kind, kept: bool, what: &str, figure: &dyn Display) {
        let word = match (kind, kept) {
            (Kind::Timed, _) if self.late.is_some() => "not scored",
            (_, true) => "kept",
            (_, false) => "NOT KEPT",
        };
        let line = format!("{word:<10} {what}: {figure}");
        println!("{line}");
        self.lines.push((kind, kept, line));
    }

    /// Whether all are kept, for drills that don't measure the machine.
    pub fn all_kept(&self) -> bool {
        self.verdict() == Verdict::Kept
    }

    /// What they come to.
    pub fn verdict(&self) -> Verdict {
        let broken = |kind: Kind| self.lines.iter().any(|(of, kept, _)| *of == kind && !kept);
        if broken(Kind::Always) {
            return Verdict::NotKept;
        }
        if self.late.is_some() {
            return Verdict::NotScored;
        }
        if broken(Kind::Timed) { Verdict::NotKept } else { Verdict::Kept }
    }
}
