//! `gradepin config`: changes of the fleet's configuration, asked for and looked at through any server's admin endpoint.
//!
//! The exit status tells a script what it may do next; see [`ConfigError::exit_status`].

mod client;
mod render;

use clap::{Args, Subcommand};
use client::ConfigClient;
use gradepin_config::admin::query::{Diff, History, Page, Show};
use gradepin_config::admin::{
    AdminError, ApplyReply, ApplyRequest, DiffReply, HistoryReply, MAX_PAGE, RollbackRequest, ShowReply,
    StatusReply,
};
use gradepin_config::change::{Name, Proposal, Revision};
use gradepin_node::settings::transaction::{self, Form};
use serde::Serialize;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Where, and how long it may take.
#[derive(Debug, Args)]
pub struct At {
    /// The admin endpoint of a server; several are tried in turn
    #[arg(long, value_name = "IP:PORT", required = true)]
    door: Vec<SocketAddr>,
    /// Seconds until a change that isn't answered for is given up
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    wait: u64,
}

/// Who changes what is in force, and why.
#[derive(Debug, Args)]
pub struct Signed {
    #[command(flatten)]
    at: At,
    /// Why, for the history
    #[arg(long)]
    why: String,
    /// Who, for the history; without it the name that the environment has
    #[arg(long)]
    author: Option<String>,
    /// Refuse the change if another revision is in force
    #[arg(long, value_name = "REVISION")]
    expected: Option<u64>,
    /// The id of this change; given again, it gives the same revision. Without it one is drawn and printed
    #[arg(long, value_name = "ID")]
    request_id: Option<String>,
    /// Only say whether it is valid
    #[arg(long)]
    dry_run: bool,
}

/// What is asked of the configuration.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Commit the changes of a document
    Apply {
        /// The document: KDL, or JSON where its name ends in .json
        file: PathBuf,
        #[command(flatten)]
        signed: Signed,
    },
    /// Commit a new revision with the content of an earlier one
    Rollback {
        /// The revision whose content is to be in force again
        revision: u64,
        #[command(flatten)]
        signed: Signed,
    },
    /// Changes from one revision to another
    Diff {
        #[command(flatten)]
        at: At,
        /// From this revision
        #[arg(long, value_name = "REVISION")]
        from: u64,
        /// To this one; without it, to the one in force
        #[arg(long, value_name = "REVISION")]
        to: Option<u64>,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// What is in force at a server: a summary, or entries
    Show {
        #[command(flatten)]
        at: At,
        #[command(flatten)]
        what: What,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// How far each revision has come, and who lags
    Status {
        #[command(flatten)]
        at: At,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Commits, the newest first
    History {
        #[command(flatten)]
        at: At,
        /// Only those before this revision
        #[arg(long, value_name = "REVISION")]
        before: Option<u64>,
        /// How many
        #[arg(long, default_value_t = 20)]
        limit: u32,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
}

/// Which entries.
#[derive(Debug, Args)]
#[group(multiple = false)]
pub struct What {
    /// One class
    #[arg(long, value_name = "NAME")]
    class: Option<String>,
    /// One tenant
    #[arg(long, value_name = "NAME")]
    tenant: Option<String>,
    /// All classes
    #[arg(long)]
    classes: bool,
    /// All tenants
    #[arg(long)]
    tenants: bool,
}

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A server refused it. Nothing was changed.
    #[error("refused: {0}")]
    Refused(#[from] AdminError),
    /// No server could be asked, or none could take it now. Nothing was changed.
    #[error("not taken: {0}")]
    NotTaken(String),
    /// It may have been committed: the same command with this request id tells, and commits it once at the most.
    #[error(
        "not known whether it was committed: {why}\nask again with --request-id {request_id}: it is committed once at the most"
    )]
    Unknown { request_id: Name, why: String },
    /// What was given, or what came, makes no sense.
    #[error("{0}")]
    Unusable(String),
}

impl ConfigError {
    /// 1 refused, or it makes no sense; 3 another revision is in force than expected; 4 not taken now, ask again later; 5 not known whether
    /// it was committed, ask again with the same request id. (0 done, 2 a command line that makes no sense.)
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Refused(AdminError::Stale { .. }) => 3,
            Self::Refused(refusal) if refusal.is_transient() => 4,
            Self::Refused(_) | Self::Unusable(_) => 1,
            Self::NotTaken(_) => 4,
            Self::Unknown { .. } => 5,
        }
    }
}

type Result<T> = std::result::Result<T, ConfigError>;

/// Does what is asked.
pub fn run(command: ConfigCommand) -> Result<()> {
    match command {
        ConfigCommand::Apply { file, signed } => apply(&file, signed),
        ConfigCommand::Rollback { revision, signed } => rollback(Revision(revision), signed),
        ConfigCommand::Diff { at, from, to, json } => {
            let query = Diff { from: Revision(from), to: to.map(Revision) }.to_query();
            let reply: DiffReply = at.client().get("/config/diff", &query)?;
            print(&reply, json, render::diff)
        }
        ConfigCommand::Show { at, what, json } => show(&at, what, json),
        ConfigCommand::Status { at, json } => {
            let reply: StatusReply = at.client().get("/config/status", "")?;
            print(&reply, json, render::status)
        }
        ConfigCommand::History { at, before, limit, json } => {
            let query = History { before: before.map(Revision), limit }.to_query();
            let reply: HistoryReply = at.client().get("/config/history", &query)?;
            print(&reply, json, render::history)
        }
    }
}

fn apply(file: &Path, signed: Signed) -> Result<()> {
    let unusable = |why: String| ConfigError::Unusable(format!("{}: {why}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|why| unusable(why.to_string()))?;
    let transaction = transaction::parse(&text, Form::of(file)).map_err(|problems| {
        let lines = problems.iter().map(|problem| format!("{}:{problem}", file.display()));
        ConfigError::Unusable(lines.collect::<Vec<String>>().join("\n"))
    })?;
    if transaction.changes.is_empty() {
        return Err(unusable("expected a change, got none".into()));
    }
    let (request_id, author) = (signed.request_id(), signed.author());
    let (reason, expected) = (Arc::from(signed.why.as_str()), signed.expected.map(Revision));
    let proposal = Proposal { request_id: Arc::clone(&request_id), author, reason, expected, transaction };
    let request = ApplyRequest { proposal, dry_run: signed.dry_run };
    signed.commit("/config/apply", &request, &request_id)
}

fn rollback(to: Revision, signed: Signed) -> Result<()> {
    let request_id = signed.request_id();
    let request = RollbackRequest {
        to,
        request_id: Arc::clone(&request_id),
        author: signed.author(),
        reason: Arc::from(signed.why.as_str()),
        expected: signed.expected.map(Revision),
        dry_run: signed.dry_run,
    };
    signed.commit("/config/rollback", &request, &request_id)
}

fn show(at: &At, what: What, json: bool) -> Result<()> {
    let name = |name: String| Arc::from(name.as_str());
    let first = || Page { after: None, limit: MAX_PAGE };
    let mut query = match what {
        What { class: Some(class), .. } => Show::Class(name(class)),
        What { tenant: Some(tenant), .. } => Show::Tenant(name(tenant)),
        What { classes: true, .. } => Show::Classes(first()),
        What { tenants: true, .. } => Show::Tenants(first()),
        _ => Show::Summary,
    };
    let client = at.client();
    loop {
        let reply: ShowReply = client.get("/config/show", &query.to_query())?;
        if query == Show::Summary {
            return print(&reply, json, render::summary);
        }
        print(&reply, json, render::entries)?;
        match (&mut query, reply.next) {
            (Show::Classes(page) | Show::Tenants(page), Some(next)) => page.after = Some(next),
            _ => return Ok(()),
        }
    }
}

fn print<T: Serialize>(reply: &T, json: bool, text: impl Fn(&T) -> String) -> Result<()> {
    if json {
        let line = serde_json::to_string(reply).map_err(|why| ConfigError::Unusable(why.to_string()))?;
        println!("{line}");
    } else {
        println!("{}", text(reply));
    }
    Ok(())
}

impl At {
    fn client(&self) -> ConfigClient<'_> {
        ConfigClient { doors: &self.door, wait: Duration::from_secs(self.wait) }
    }
}

impl Signed {
    fn author(&self) -> Name {
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        Arc::from(self.author.clone().or_else(user).unwrap_or_else(|| "somebody".into()))
    }

    /// The one that was given, or 64 random bits, printed first so that a command that is cut off can be given again.
    fn request_id(&self) -> Name {
        if let Some(id) = &self.request_id {
            return Arc::from(id.as_str());
        }
        // Seeded by the system for each process.
        let drawn = format!("{:016x}", RandomState::new().build_hasher().finish());
        if !self.dry_run {
            eprintln!("gradepin: request id {drawn}");
        }
        Arc::from(drawn)
    }

    fn commit(&self, path: &str, request: &impl Serialize, request_id: &Name) -> Result<()> {
        let body = serde_json::to_string(request).map_err(|why| ConfigError::Unusable(why.to_string()))?;
        let reply = self.at.client().commit(path, &body, request_id)?;
        let text = match reply {
            ApplyReply::Committed { revision, repeated: false } => {
                format!("committed as revision {revision}")
            }
            ApplyReply::Committed { revision, repeated: true } => {
                format!("was committed as revision {revision} before")
            }
            ApplyReply::Valid { against, changes } => {
                format!(
                    "valid against revision {against}: {changes} entries would change; nothing was proposed"
                )
            }
            ApplyReply::Pending { .. } => "under way".to_string(),
        };
        println!("{text}");
        Ok(())
    }
}
