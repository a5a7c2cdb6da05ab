//! Prints the size of a configuration and the time to parse, validate and patch
//! it, for a sixteenth, a quarter and all of 1,700 backend servers.

use std::time::{Duration, Instant};

use carobstep_config::{
    ConfigDocument, ConfigPatch, ConfigRecord, ConfigTopology, ConfigVersion, HedgeDocument,
    IndexDocument, PatchDocument, PatchFormat, PatchId, RepeatPolicy, ServerDocument, ServerState,
    ServiceDocument, UtcTime, apply_patch,
};

const SERVERS: [usize; 3] = [106, 425, 1_700];

const SERVERS_PER_SERVICE: usize = 3;

const ZONES: usize = 10;

/// Number of runs per measurement; the shortest run is reported.
const RUNS: usize = 50;

fn document(servers: usize) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    for number in 0..servers {
        let service = format!("service-{:04}", number / SERVERS_PER_SERVICE);
        let entry = document.services.entry(service.clone()).or_insert_with(|| ServiceDocument {
            repeat: RepeatPolicy::Idempotent,
            deadline_ms: 170,
            hedge: HedgeDocument::default(),
            servers: Default::default(),
        });
        let server = ServerDocument {
            zone: format!("zone-{}", number % ZONES),
            address: format!("10.{}.{}.1:8080", number / 256, number % 256),
            slots: 2,
            connections: 25,
            state: ServerState::Active,
        };
        entry.servers.insert(format!("{service}-{number:04}"), server);
    }
    document.indexes.insert("garments".to_owned(), IndexDocument { deadline_ms: 170 });
    document
}

fn shortest<T>(mut run: impl FnMut() -> T) -> Duration {
    let mut shortest = Duration::MAX;
    for _ in 0..RUNS {
        let start = Instant::now();
        let result = run();
        shortest = shortest.min(start.elapsed());
        drop(result);
    }
    shortest
}

fn patch() -> ConfigPatch {
    ConfigPatch::try_from(PatchDocument {
        base: ConfigVersion(1),
        id: "p".to_owned(),
        author: "ops".to_owned(),
        time: UtcTime(0),
        format: PatchFormat::Merge,
        text: r#"{"services": {"service-0000": {"deadline_ms": 200}}}"#.to_owned(),
    })
    .expect("a patch")
}

fn main() {
    println!("servers   bytes  read_us  check_us  patch_us");
    let id = PatchId::try_from("first".to_owned()).expect("an identifier");
    let author = "ops".to_owned().try_into().expect("an author");
    for servers in SERVERS {
        let document = document(servers);
        let record =
            ConfigRecord::initial(&id, &author, UtcTime(0), document).expect("a valid document");
        let text = serde_json::to_string(&record).expect("a record");
        let read = shortest(|| serde_json::from_str::<ConfigRecord>(&text));
        let check = shortest(|| ConfigTopology::try_from((record.version, &record.document)));
        let patch = patch();
        let patched = shortest(|| apply_patch(&record, &patch));
        println!(
            "{servers:>7} {:>7} {:>8} {:>9} {:>9}",
            text.len(),
            read.as_micros(),
            check.as_micros(),
            patched.as_micros()
        );
    }
}
