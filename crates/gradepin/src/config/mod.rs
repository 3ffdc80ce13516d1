//! `gradepin config`: changes and queries of the fleet's configuration through the admin endpoint of any server.
//!
//! The exit status tells a script whether a retry makes sense; see [`ConfigError::exit_status`].

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

/// Servers to call, and the time limit of a change.
#[derive(Debug, Args)]
pub(crate) struct Servers {
    /// Admin endpoint of a server; repeat the option to try several in turn
    #[arg(long = "door", value_name = "IP:PORT", required = true)]
    addresses: Vec<SocketAddr>,
    /// Seconds after which a change without a final answer is given up
    #[arg(long = "wait", value_name = "SECONDS", default_value_t = 10)]
    wait_seconds: u64,
}

/// Options of every change: servers, author, reason and preconditions.
#[derive(Debug, Args)]
pub(crate) struct ChangeArguments {
    #[command(flatten)]
    servers: Servers,
    /// Reason of the change, recorded in the history
    #[arg(long)]
    why: String,
    /// Author of the change, recorded in the history; defaults to $USER
    #[arg(long)]
    author: Option<String>,
    /// Reject the change if another revision is active
    #[arg(long, value_name = "REVISION")]
    expected: Option<u64>,
    /// Id of this change; a retry with the same id yields the same revision. By default a random id is generated and
    /// printed
    #[arg(long, value_name = "ID")]
    request_id: Option<String>,
    /// Only validate the change; commit nothing
    #[arg(long)]
    dry_run: bool,
}

/// Queries and changes of the configuration.
#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    /// Commit the changes of a document
    Apply {
        /// Document with the changes: JSON if its name ends in .json, otherwise KDL
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Commit a new revision with the content of an earlier one
    Rollback {
        /// Revision whose content becomes active again
        revision: u64,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Show the changes between two revisions
    Diff {
        #[command(flatten)]
        servers: Servers,
        /// Earlier revision
        #[arg(long, value_name = "REVISION")]
        from: u64,
        /// Later revision; defaults to the active one
        #[arg(long, value_name = "REVISION")]
        to: Option<u64>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Show a server's active configuration: a summary, or selected entries
    Show {
        #[command(flatten)]
        servers: Servers,
        #[command(flatten)]
        selection: EntrySelection,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Show how far each revision has spread, and which servers lag
    Status {
        #[command(flatten)]
        servers: Servers,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// List commits, newest first
    History {
        #[command(flatten)]
        servers: Servers,
        /// Only list commits before this revision
        #[arg(long, value_name = "REVISION")]
        before: Option<u64>,
        /// Maximum number of commits
        #[arg(long, default_value_t = 20)]
        limit: u32,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
}

/// Entries to show; without any option, a summary.
#[derive(Debug, Args)]
#[group(multiple = false)]
pub(crate) struct EntrySelection {
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

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// A server rejected the request; nothing was changed.
    #[error("refused: {0}")]
    Rejected(#[from] AdminError),
    /// No server could be reached, or none could accept the request now; nothing was changed.
    #[error("not taken: {0}")]
    NotAccepted(String),
    /// The change may have been committed. Repeating the command with this request id returns the outcome and commits
    /// the change at most once.
    #[error(
        "not known whether it was committed: {why}\nask again with --request-id {request_id}: it is committed once at the most"
    )]
    OutcomeUnknown { request_id: Name, why: String },
    /// The input or a server's answer is invalid.
    #[error("{0}")]
    Invalid(String),
}

impl ConfigError {
    /// Exit status for scripts: 1 rejected or invalid; 3 the active revision is not the expected one; 4 not accepted
    /// now, retry later; 5 outcome unknown, retry with the same request id. (0 is success, 2 an invalid command
    /// line.)
    pub(crate) fn exit_status(&self) -> u8 {
        match self {
            Self::Rejected(AdminError::Stale { .. }) => 3,
            Self::Rejected(error) if error.is_transient() => 4,
            Self::Rejected(_) | Self::Invalid(_) => 1,
            Self::NotAccepted(_) => 4,
            Self::OutcomeUnknown { .. } => 5,
        }
    }
}

type Result<T> = std::result::Result<T, ConfigError>;

/// Executes a command and prints the answer.
pub(crate) fn run(command: ConfigCommand) -> Result<()> {
    match command {
        ConfigCommand::Apply { file, change } => apply(&file, change),
        ConfigCommand::Rollback { revision, change } => rollback(Revision(revision), change),
        ConfigCommand::Diff { servers, from, to, json } => {
            let query = Diff { from: Revision(from), to: to.map(Revision) }.to_query();
            let reply: DiffReply = servers.client().get("/config/diff", &query)?;
            print(&reply, json, render::diff)
        }
        ConfigCommand::Show { servers, selection, json } => show(&servers, selection, json),
        ConfigCommand::Status { servers, json } => {
            let reply: StatusReply = servers.client().get("/config/status", "")?;
            print(&reply, json, render::status)
        }
        ConfigCommand::History { servers, before, limit, json } => {
            let query = History { before: before.map(Revision), limit }.to_query();
            let reply: HistoryReply = servers.client().get("/config/history", &query)?;
            print(&reply, json, render::history)
        }
    }
}

fn apply(file: &Path, change: ChangeArguments) -> Result<()> {
    let invalid = |why: String| ConfigError::Invalid(format!("{}: {why}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|why| invalid(why.to_string()))?;
    let transaction = transaction::parse(&text, Form::of(file)).map_err(|problems| {
        let lines = problems.iter().map(|problem| format!("{}:{problem}", file.display()));
        ConfigError::Invalid(lines.collect::<Vec<String>>().join("\n"))
    })?;
    if transaction.changes.is_empty() {
        return Err(invalid("expected at least one change, got none".into()));
    }
    let (request_id, author) = (change.request_id(), change.author());
    let (reason, expected) = (Arc::from(change.why.as_str()), change.expected.map(Revision));
    let proposal = Proposal { request_id: Arc::clone(&request_id), author, reason, expected, transaction };
    let request = ApplyRequest { proposal, dry_run: change.dry_run };
    change.commit("/config/apply", &request, &request_id)
}

fn rollback(to: Revision, change: ChangeArguments) -> Result<()> {
    let request_id = change.request_id();
    let request = RollbackRequest {
        to,
        request_id: Arc::clone(&request_id),
        author: change.author(),
        reason: Arc::from(change.why.as_str()),
        expected: change.expected.map(Revision),
        dry_run: change.dry_run,
    };
    change.commit("/config/rollback", &request, &request_id)
}

fn show(servers: &Servers, selection: EntrySelection, json: bool) -> Result<()> {
    let name = |name: String| Arc::from(name.as_str());
    let first = || Page { after: None, limit: MAX_PAGE };
    let mut query = match selection {
        EntrySelection { class: Some(class), .. } => Show::Class(name(class)),
        EntrySelection { tenant: Some(tenant), .. } => Show::Tenant(name(tenant)),
        EntrySelection { classes: true, .. } => Show::Classes(first()),
        EntrySelection { tenants: true, .. } => Show::Tenants(first()),
        _ => Show::Summary,
    };
    let client = servers.client();
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
        let line = serde_json::to_string(reply).map_err(|why| ConfigError::Invalid(why.to_string()))?;
        println!("{line}");
    } else {
        println!("{}", text(reply));
    }
    Ok(())
}

impl Servers {
    fn client(&self) -> ConfigClient<'_> {
        ConfigClient { addresses: &self.addresses, timeout: Duration::from_secs(self.wait_seconds) }
    }
}

impl ChangeArguments {
    fn author(&self) -> Name {
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        Arc::from(self.author.clone().or_else(user).unwrap_or_else(|| "somebody".into()))
    }

    /// The given id, or 64 random bits. A generated id is printed before the request is sent, so that an interrupted
    /// command can be repeated with it.
    fn request_id(&self) -> Name {
        if let Some(id) = &self.request_id {
            return Arc::from(id.as_str());
        }
        // `RandomState` is seeded by the operating system in each process.
        let drawn = format!("{:016x}", RandomState::new().build_hasher().finish());
        if !self.dry_run {
            eprintln!("gradepin: request id {drawn}");
        }
        Arc::from(drawn)
    }

    fn commit(&self, path: &str, request: &impl Serialize, request_id: &Name) -> Result<()> {
        let body = serde_json::to_string(request).map_err(|why| ConfigError::Invalid(why.to_string()))?;
        let reply = self.servers.client().commit(path, &body, request_id)?;
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
