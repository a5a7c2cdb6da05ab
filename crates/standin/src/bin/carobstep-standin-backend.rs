//! Runs one or more simulated backend servers in one process.

use std::{env, fs};

use carobstep_standin::{BackendStandin, ServerSettings};
use eyre::{WrapErr, eyre};
use getopts::Options;

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "",
        "server",
        "a server to run, for example name=b1,address=127.0.0.1:0,control=127.0.0.1:0,\
         slots=2,connections=25,service-us=5000,connect-delay-us=6000,delay-us=0,cancel-us=0,\
         seed=1,snapshots=6+7; a missing field has a default; may be repeated",
        "KEY=VALUE,...",
    );
    options.optopt("", "servers-file", "JSON file with an array of servers to run", "PATH");
    options.optflag("h", "help", "show this help");
    options
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options();
    let matches = options.parse(env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: carobstep-standin-backend [OPTIONS]"));
        return Ok(());
    }
    if let Some(argument) = matches.free.first() {
        return Err(eyre!("unexpected argument {argument:?}"));
    }
    let mut settings = match matches.opt_str("servers-file") {
        Some(path) => read_servers(&path)?,
        None => Vec::new(),
    };
    for text in matches.opt_strs("server") {
        settings.push(ServerSettings::try_from(text.as_str())?);
    }
    if settings.is_empty() {
        return Err(eyre!("no server to run: give --server or --servers-file"));
    }
    let mut servers = Vec::with_capacity(settings.len());
    for server in settings {
        servers.push(BackendStandin::start(server).await?);
    }
    println!("ready {}", serde_json::json!({"servers": describe_servers(&servers)}));
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn describe_servers(servers: &[BackendStandin]) -> Vec<serde_json::Value> {
    let mut descriptions = Vec::with_capacity(servers.len());
    for server in servers {
        descriptions.push(serde_json::json!({
            "name": server.name(),
            "address": server.address(),
            "control": server.control(),
        }));
    }
    descriptions
}

fn read_servers(path: &str) -> eyre::Result<Vec<ServerSettings>> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("cannot read servers file {path:?}"))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("cannot parse servers file {path:?}"))
}
