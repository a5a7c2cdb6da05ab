//! The daemon's command line.

use getopts::Options;

use crate::error::{NodeError, NodeErrorKind};

/// Command that the arguments specify.
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

/// Definitions of the flags, for parsing and for the usage text.
struct FlagDefinitions {
    options: Options,
}

impl FlagDefinitions {
    fn new() -> Self {
        let mut options = Options::new();
        options.optopt("s", "settings", "settings file in JSON with comments", "FILE");
        options.optflag("", "check", "check the settings file and start nothing");
        options.optflag("h", "help", "print this text");
        options.optflag("V", "version", "print the version");
        Self { options }
    }

    fn usage(&self) -> String {
        self.options.usage(
            "Usage: carobstepd --settings FILE [--check]\n       \
             carobstepd gateway [--metrics PORT]\n\n\
             The first form runs a node with a settings file of its own. The second runs a \
             gateway\nwith the settings that the platform provides; see carobstepd gateway \
             --help.",
        )
    }
}

impl TryFrom<&[String]> for DaemonArgs {
    type Error = NodeError;

    fn try_from(args: &[String]) -> Result<Self, NodeError> {
        let flags = FlagDefinitions::new();
        let fail = |text: String| NodeError::new(NodeErrorKind::Usage, text);
        let matches = flags.options.parse(args).map_err(|error| fail(error.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Self::Help(flags.usage()));
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
