//! `gradepin-testkit ask`: a single call to a registry.

use clap::{Args, Subcommand};
use gradepin_node::registry::Client;
use gradepin_node::settings::ServiceUrl;
use gradepin_registry::instance::{Applications, Instance, InstanceStatus};
use gradepin_registry::membership::{RegistryOperation, RegistryReply};
use gradepin_registry::view::Fetch;
use gradepin_registry::wire::Format;
use std::error::Error;
use std::time::Duration;

/// Arguments of `ask`.
#[derive(Debug, Args)]
pub struct AskArgs {
    /// Service URL of the registry
    #[arg(long, default_value = "http://127.0.0.1:8761/eureka/v2")]
    pub url: String,
    /// Use XML instead of JSON
    #[arg(long)]
    pub xml: bool,
    #[command(subcommand)]
    pub what: Question,
}

/// Call to make.
#[derive(Debug, Subcommand)]
pub enum Question {
    /// List all instances
    Apps,
    /// List the recent changes
    Delta,
    /// List the instances of an application
    App { app: String },
    /// List the instances under a VIP address
    Vip { vip: String },
    /// Show one instance
    Instance { app: String, id: String },
    /// Override the status of an instance with OUT_OF_SERVICE
    Out { app: String, id: String },
    /// Remove the status override of an instance
    In { app: String, id: String },
    /// Set one metadata key of an instance
    Metadata { app: String, id: String, key: String, value: String },
    /// Remove a registration
    Cancel { app: String, id: String },
}

/// Makes the call; returns `false` if the registry doesn't know the instance or rejects the call.
pub fn run(args: AskArgs) -> Result<bool, Box<dyn Error>> {
    ask(&args.url, if args.xml { Format::Xml } else { Format::Json }, args.what)
}

fn ask(url: &str, format: Format, what: Question) -> Result<bool, Box<dyn Error>> {
    const TIMEOUT: Duration = Duration::from_secs(5);
    let client = Client::new(&ServiceUrl::parse(url)?, format);
    let line = |i: &Instance| {
        let (zone, address) = (i.zone().unwrap_or("-"), i.ip.map_or(i.host.clone(), |ip| ip.to_string()));
        println!("{} {} {} {address}:{} zone {zone} vip {}", i.app, i.id, i.status, i.port.number, i.vip);
    };
    let all = |applications: Applications| {
        applications.instances.iter().for_each(line);
        println!("{} instances, code {}", applications.instances.len(), applications.hash_code);
        Ok(true)
    };
    let (app, id, op) = match what {
        Question::Apps => return all(client.fetch(Fetch::Full, TIMEOUT)?),
        Question::Delta => return all(client.fetch(Fetch::Delta, TIMEOUT)?),
        Question::App { app } => return all(client.application(&app, TIMEOUT)?),
        Question::Vip { vip } => return all(client.vip(&vip, TIMEOUT)?),
        Question::Metadata { app, id, key, value } => {
            client.metadata(&app, &id, &key, &value, TIMEOUT)?;
            return Ok(true);
        }
        Question::Instance { app, id } => (app, id, RegistryOperation::FetchOwnRecord),
        Question::Out { app, id } => {
            (app, id, RegistryOperation::Override { status: InstanceStatus::OutOfService, dirty_ms: 0 })
        }
        Question::In { app, id } => {
            (app, id, RegistryOperation::ClearOverride { status: InstanceStatus::Up, dirty_ms: 0 })
        }
        Question::Cancel { app, id } => (app, id, RegistryOperation::Cancel),
    };
    let reply = client.ask(&app, &id, &op, TIMEOUT);
    match &reply {
        RegistryReply::Done => println!("done"),
        RegistryReply::Record(instance) => line(instance),
        RegistryReply::NotFound => println!("no {id} in {app}"),
        RegistryReply::Rejected(status) => println!("answered with status {status}"),
        RegistryReply::Failed(why) => println!("failed: {why}"),
    }
    Ok(matches!(reply, RegistryReply::Done | RegistryReply::Record(_)))
}
