//! The daemon's command line.

use getopts::Options;

use crate::error::{NodeError, NodeErrorKind};

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonArgs {
    /// Print the help text.
    Help(String),
    /// Print the version.
    Version,
    /// Check the settings file and exit.
    Check {
        /// Path of the settings file.
        settings: String,
    },
    /// Run the daemon.
    Run {
        /// Path of the settings file.
        settings: String,
    },
}

/// Flags as they stand on the command line, before they are checked.
struct LowArgs {
    options: Options,
}

impl LowArgs {
    fn new() -> Self {
        let mut options = Options::new();
        options.optopt("s", "settings", "settings file in JSON with comments", "FILE");
        options.optflag("", "check", "check the settings file and start nothing");
        options.optflag("h", "help", "print this text");
        options.optflag("V", "version", "print the version");
        Self { options }
    }

    fn usage(&self) -> String {
        self.options.usage("Usage: carobstepd --settings FILE [--check]")
    }
}

impl TryFrom<&[String]> for DaemonArgs {
    type Error = NodeError;

    fn try_from(args: &[String]) -> Result<Self, NodeError> {
        let low = LowArgs::new();
        let fail = |text: String| NodeError::new(NodeErrorKind::Usage, text);
        let matches = low.options.parse(args).map_err(|error| fail(error.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Self::Help(low.usage()));
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        if let Some(extra) = matches.free.first() {
            return Err(fail(format!("unexpected argument {extra:?}")));
        }
        let settings = matches
            .opt_str("settings")
            .ok_or_else(|| fail("the flag --settings FILE is missing".to_owned()))?;
        if matches.opt_present("check") {
            return Ok(Self::Check { settings });
        }
        Ok(Self::Run { settings })
    }
}
