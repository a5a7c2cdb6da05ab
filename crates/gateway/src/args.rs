//! Command-line arguments of the gateway.

use getopts::Options;

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GatewayArgs {
    /// Print the help text.
    Help(String),
    /// Run the gateway.
    Run {
        /// Port on which metrics are served; `None` turns them off.
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
                The environment variable CAROBSTEP_BOOT holds the path of the settings file.";
            return Ok(Self::Help(options.usage(brief)));
        }
        if let Some(extra) = matches.free.first() {
            return Err(format!("unexpected argument {extra:?}"));
        }
        let port = |text: String| {
            text.parse()
                .map_err(|error| format!("--metrics {text:?} is not a port number: {error}"))
        };
        let metrics = matches.opt_str("metrics").map(port).transpose()?;
        Ok(Self::Run { metrics })
    }
}
