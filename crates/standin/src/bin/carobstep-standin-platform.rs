//! Runs the simulated platform as a separate process.

use std::{env, fs, net::SocketAddr};

use carobstep_standin::{PlatformSettings, PlatformStandin};
use eyre::{WrapErr, eyre};
use getopts::Options;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "address", "address to listen on; overrides the file", "IP:PORT");
    options.optopt("", "seed-file", "JSON file with \"vms\" and \"objects\" to start with", "PATH");
    options.optflag("h", "help", "show this help");
    options
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options();
    let matches = options.parse(env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: carobstep-standin-platform [OPTIONS]"));
        return Ok(());
    }
    if let Some(argument) = matches.free.first() {
        return Err(eyre!("unexpected argument {argument:?}"));
    }
    let mut settings = match matches.opt_str("seed-file") {
        Some(path) => read_settings(&path)?,
        None => PlatformSettings::default(),
    };
    if let Some(address) = matches.opt_str("address") {
        settings.address = address
            .parse::<SocketAddr>()
            .wrap_err_with(|| format!("--address {address:?} is not of the form ip:port"))?;
    }
    let standin = PlatformStandin::start(settings).await?;
    println!("ready {}", serde_json::json!({"address": standin.address()}));
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn read_settings(path: &str) -> eyre::Result<PlatformSettings> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("cannot read seed file {path:?}"))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("cannot parse seed file {path:?}"))
}
