//! Validation of index manifests against a configuration.

use carobstep_config::{
    ConfigDocument, ConfigTopology, ConfigVersion, IndexManifest, ManifestDocument,
};

struct ManifestCase {
    name: &'static str,
    /// Service that serves the only shard of snapshot 1, of snapshot 2 and so on.
    services: &'static [&'static str],
    /// Numbers of the snapshots that are kept, or a part of the error message.
    expected: Result<&'static [u64], &'static str>,
}

const CASES: &[ManifestCase] = &[
    ManifestCase {
        name: "all services exist",
        services: &["known", "known"],
        expected: Ok(&[1, 2]),
    },
    ManifestCase {
        name: "newest names a missing service",
        services: &["known", "new"],
        expected: Ok(&[1]),
    },
    ManifestCase {
        name: "oldest names a missing service",
        services: &["old", "known"],
        expected: Ok(&[2]),
    },
    ManifestCase {
        name: "all name missing services",
        services: &["old", "new"],
        expected: Err("\"new\""),
    },
    ManifestCase { name: "no snapshot", services: &[], expected: Err("lists no snapshot") },
];

fn topology() -> ConfigTopology {
    let document: ConfigDocument = serde_json::from_str(
        r#"{"services": {"known": {"deadline_ms": 100, "servers": {
            "a": {"zone": "z", "address": "127.0.0.1:1", "slots": 1, "connections": 2}}}}}"#,
    )
    .unwrap();
    ConfigTopology::try_from((ConfigVersion(3), &document)).unwrap()
}

#[test]
fn snapshots_with_missing_services_are_skipped() {
    let topology = topology();
    for case in CASES {
        let mut snapshots = Vec::new();
        for (position, service) in case.services.iter().enumerate() {
            snapshots.push(serde_json::json!({"number": position + 1, "shards": {"s": service}}));
        }
        let document = serde_json::json!({"index": "garments", "snapshots": snapshots});
        let document: ManifestDocument = serde_json::from_value(document).unwrap();
        let manifest = IndexManifest::skipping_unknown_services(&topology, &document);
        match (manifest, case.expected) {
            (Ok(manifest), Ok(numbers)) => {
                let kept: Vec<u64> = manifest.snapshots.iter().map(|map| map.number).collect();
                assert_eq!(kept, numbers, "{}", case.name);
            }
            (Err(error), Err(part)) => {
                assert!(error.to_string().contains(part), "{}: {error}", case.name);
            }
            (manifest, _) => panic!("{}: {manifest:?}", case.name),
        }
    }
}
