//! The command line of the gateway.

use getopts::Options;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GatewayArgs {
    /// Print the help text.
    Help(String),
    /// Run the gateway.
    Run {
        /// Port of the metrics.
        metrics: Option<u16>,
    },
}

impl TryFrom<&[String]> for GatewayArgs {
    type Error = String;

    fn try_from(args: &[String]) -> Result<Self, String> {
        let mut options = Options::new();
        options.optopt("m", "metrics", "serve metrics at /metrics on this port", "PORT");
        options.optflag("h", "help", "print this text");
        let matches = options.parse(args).map_err(|error| error.to_string())?;
        if matches.opt_present("help") {
            let brief = "Usage: carobstepd gateway [--metrics PORT]\n\n\
                The settings file is the one that the platform's variable names.";
            return Ok(Self::Help(options.usage(brief)));
        }
        if let Some(extra) = matches.free.first() {
            return Err(format!("unexpected argument {extra:?}"));
        }
        let port = |text: String| {
            text.parse().map_err(|error| format!("--metrics {text:?} is no port: {error}"))
        };
        let metrics = matches.opt_str("metrics").map(port).transpose()?;
        Ok(Self::Run { metrics })
    }
}
