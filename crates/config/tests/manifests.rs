//! Index manifests against a configuration.

use carobstep_config::{
    ConfigDocument, ConfigTopology, ConfigVersion, IndexManifest, ManifestDocument,
};

struct ManifestCase {
    name: &'static str,
    /// Service of the only shard of snapshots 1, 2, ...
    services: &'static [&'static str],
    /// Numbers of the snapshots that stay, or a part of the error.
    fitting: Result<&'static [u64], &'static str>,
}

const CASES: &[ManifestCase] = &[
    ManifestCase { name: "all fit", services: &["known", "known"], fitting: Ok(&[1, 2]) },
    ManifestCase { name: "newest is ahead", services: &["known", "new"], fitting: Ok(&[1]) },
    ManifestCase { name: "oldest is behind", services: &["old", "known"], fitting: Ok(&[2]) },
    ManifestCase { name: "none fits", services: &["old", "new"], fitting: Err("\"new\"") },
    ManifestCase { name: "no snapshot", services: &[], fitting: Err("lists no snapshot") },
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
fn snapshots_that_fit_the_configuration_stay_usable() {
    let topology = topology();
    for case in CASES {
        let mut snapshots = Vec::new();
        for (position, service) in case.services.iter().enumerate() {
            snapshots.push(serde_json::json!({"number": position + 1, "shards": {"s": service}}));
        }
        let document = serde_json::json!({"index": "garments", "snapshots": snapshots});
        let document: ManifestDocument = serde_json::from_value(document).unwrap();
        let manifest = IndexManifest::fitting(&topology, &document);
        match (manifest, case.fitting) {
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
