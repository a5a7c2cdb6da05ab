//! The parsed settings file, before its values are validated.

use super::{
    error::SettingsFault,
    section::{Located, ReadContext, SectionReader},
};
use crate::jsonc::parse_tree;

/// A settings file parsed into typed fields, each with its line.
///
/// Structural errors (unknown keys, wrong types, missing keys) are collected
/// here; `Settings::try_from` reports them together with invalid values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsDocument {
    pub(super) label: String,
    pub(super) faults: Vec<SettingsFault>,
    pub(super) node: Option<Located<String>>,
    pub(super) region: Option<Located<String>>,
    pub(super) zone: Option<Located<String>>,
    pub(super) callers: Option<Located<String>>,
    pub(super) operators: Option<Located<String>>,
    pub(super) peers: Option<Located<String>>,
    pub(super) peers_advertised: Option<Located<String>>,
    pub(super) platform: Option<Located<String>>,
    pub(super) seeds: Vec<Located<String>>,
    pub(super) metrics: Option<Located<String>>,
    pub(super) log_level: Option<Located<String>>,
    pub(super) lease: LeaseDocument,
    pub(super) gossip: GossipDocument,
    pub(super) limits: LimitsDocument,
    pub(super) stop: StopDocument,
    pub(super) split: SplitDocument,
}

/// The section `lease`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LeaseDocument {
    pub(super) term_ms: Option<Located<u64>>,
    pub(super) renew_ms: Option<Located<u64>>,
    pub(super) drift_ms: Option<Located<u64>>,
    pub(super) fence_ms: Option<Located<u64>>,
}

/// The section `gossip`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct GossipDocument {
    pub(super) interval_ms: Option<Located<u64>>,
    pub(super) fanout: Option<Located<u64>>,
    pub(super) peer_timeout_ms: Option<Located<u64>>,
}

/// The section `limits`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LimitsDocument {
    pub(super) body_bytes: Option<Located<u64>>,
    pub(super) header_bytes: Option<Located<u64>>,
    pub(super) in_flight: Option<Located<u64>>,
    pub(super) queue_per_server: Option<Located<u64>>,
    pub(super) header_timeout_ms: Option<Located<u64>>,
}

/// The section `stop`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct StopDocument {
    pub(super) drain_timeout_ms: Option<Located<u64>>,
    pub(super) notice_ms: Option<Located<u64>>,
}

/// The section `split`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SplitDocument {
    pub(super) nodes: Vec<Located<String>>,
}

impl SettingsDocument {
    /// Parses a settings file; `label` names the file in error messages.
    #[must_use]
    pub fn read(label: &str, text: &str) -> Self {
        let mut document = Self { label: label.to_owned(), ..Self::default() };
        let tree = match parse_tree(text) {
            Ok(tree) => tree,
            Err(error) => {
                document.faults.push(SettingsFault::new(error.line(), "", error.message()));
                return document;
            }
        };
        let mut context = ReadContext::new(text);
        let mut root = SectionReader::root(tree.as_ref(), &mut context);
        document.read_root(&mut root, &mut context);
        document.lease = LeaseDocument::read(&mut root, &mut context);
        document.gossip = GossipDocument::read(&mut root, &mut context);
        document.limits = LimitsDocument::read(&mut root, &mut context);
        document.stop = StopDocument::read(&mut root, &mut context);
        document.split = SplitDocument::read(&mut root, &mut context);
        root.finish(&mut context);
        document.faults = context.into_faults();
        document
    }

    fn read_root(&mut self, root: &mut SectionReader<'_>, context: &mut ReadContext<'_>) {
        self.node = root.required_text("node", context);
        self.region = root.required_text("region", context);
        self.zone = root.required_text("zone", context);
        self.callers = root.required_text("callers", context);
        self.operators = root.required_text("operators", context);
        self.peers = root.required_text("peers", context);
        self.peers_advertised = root.text("peers_advertised", context);
        self.platform = root.required_text("platform", context);
        self.seeds = root.texts("seeds", context);
        self.metrics = root.text("metrics", context);
        self.log_level = root.text("log_level", context);
    }
}

impl LeaseDocument {
    fn read(root: &mut SectionReader<'_>, context: &mut ReadContext<'_>) -> Self {
        let mut section = root.section("lease", context);
        let document = Self {
            term_ms: section.number("term_ms", context),
            renew_ms: section.number("renew_ms", context),
            drift_ms: section.number("drift_ms", context),
            fence_ms: section.number("fence_ms", context),
        };
        section.finish(context);
        document
    }
}

impl GossipDocument {
    fn read(root: &mut SectionReader<'_>, context: &mut ReadContext<'_>) -> Self {
        let mut section = root.section("gossip", context);
        let document = Self {
            interval_ms: section.number("interval_ms", context),
            fanout: section.number("fanout", context),
            peer_timeout_ms: section.number("peer_timeout_ms", context),
        };
        section.finish(context);
        document
    }
}

impl LimitsDocument {
    fn read(root: &mut SectionReader<'_>, context: &mut ReadContext<'_>) -> Self {
        let mut section = root.section("limits", context);
        let document = Self {
            body_bytes: section.number("body_bytes", context),
            header_bytes: section.number("header_bytes", context),
            in_flight: section.number("in_flight", context),
            queue_per_server: section.number("queue_per_server", context),
            header_timeout_ms: section.number("header_timeout_ms", context),
        };
        section.finish(context);
        document
    }
}

impl StopDocument {
    fn read(root: &mut SectionReader<'_>, context: &mut ReadContext<'_>) -> Self {
        let mut section = root.section("stop", context);
        let document = Self {
            drain_timeout_ms: section.number("drain_timeout_ms", context),
            notice_ms: section.number("notice_ms", context),
        };
        section.finish(context);
        document
    }
}

impl SplitDocument {
    fn read(root: &mut SectionReader<'_>, context: &mut ReadContext<'_>) -> Self {
        let mut section = root.section("split", context);
        let document = Self { nodes: section.texts("nodes", context) };
        section.finish(context);
        document
    }
}
