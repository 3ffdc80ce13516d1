//! The verdict of a drill, from claims that hold on any machine, claims that depend on its speed, and whether the
//! machine was late.
//!
//! If the machine's scheduling lag exceeded the stated bounds, the claims that depend on its speed are neither kept
//! nor not kept, and the run is not scored. Such a run never counts as kept, even if all claims held; otherwise a
//! late machine could only add passing runs. Claims that hold on any machine are judged in any case.

use std::fmt::{self, Display};

#[cfg(test)]
mod tests;

/// The result of a drill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// All claims are kept.
    Kept,
    /// At least one claim is not kept.
    NotKept,
    /// The machine was late, and no claim that holds on any machine is broken.
    NotScored,
}

/// The error that ends the program with a separate exit status if a run is not scored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not scored: the machine was late; this run is neither kept nor not kept")]
pub struct NotScored;

impl NotScored {
    /// The exit status of a run that is not scored; 0 is kept, 1 not kept, 2 a usage error or a failed setup.
    pub const EXIT_STATUS: u8 = 3;
}

impl Verdict {
    /// Combines the verdicts of two runs: not kept if one is not kept, and kept only if both are.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotKept, _) | (_, Self::NotKept) => Self::NotKept,
            (Self::NotScored, _) | (_, Self::NotScored) => Self::NotScored,
            (Self::Kept, Self::Kept) => Self::Kept,
        }
    }

    /// Whether the run is kept, or an error if it is not scored.
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

/// Whether a claim depends on the machine's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// The claim holds on any machine.
    Always,
    /// The claim concerns times or rates, which a late machine changes.
    Timed,
}

/// The claims made so far, which are printed as they are made.
#[derive(Debug, Default)]
pub struct Claims {
    lines: Vec<(Kind, bool, String)>,
    /// By how much the machine was late, if it exceeded the bounds.
    late: Option<String>,
}

impl Claims {
    /// Claims of a run; `late` says by how much the machine exceeded the bounds on its lag, if it did.
    pub fn on_machine(late: Option<String>) -> Self {
        if let Some(late) = &late {
            println!("not scored: the machine was late by {late}");
        }
        Self { lines: Vec::new(), late }
    }

    /// Makes a claim that holds on any machine, with its figure.
    pub fn claim(&mut self, kept: bool, what: &str, figure: impl Display) {
        self.add(Kind::Always, kept, what, &figure);
    }

    /// Makes a claim that depends on the machine's speed, with its figure.
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

    /// Whether all claims are kept, for drills that don't measure the machine's lag.
    pub fn all_kept(&self) -> bool {
        self.verdict() == Verdict::Kept
    }

    /// The verdict over all claims.
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
