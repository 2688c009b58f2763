//! Measures reading large files and writing them back, compared to iterating over their lines.

use dahliapoint_import::{ConfigFormat, FileSource, HostState, ImportOptions, read};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

struct SingleFile(String);

impl FileSource for SingleFile {
    fn read(&mut self, _: &str) -> Result<String, String> {
        Ok(self.0.clone())
    }

    fn list(&mut self, _: &str) -> Result<Vec<String>, String> {
        Ok(Vec::new())
    }
}

fn main() {
    for count in [384, 10_000, 50_000] {
        let mut apache = String::from("<Proxy balancer://p>\n");
        let names: Vec<String> = (0..count).map(|i| format!("h{i}")).collect();
        let mut jk = format!(
            "worker.list=p\nworker.p.type=lb\nworker.p.balance_workers={}\n",
            names.join(",")
        );
        for i in 0..count {
            let address = format!("10.{}.{}.{}", i / 65_536, i / 256 % 256, i % 256);
            let _ = writeln!(
                apache,
                "  BalancerMember \"http://{address}:8080\" route=h{i} loadfactor=2 ping=5"
            );
            let _ = writeln!(
                jk,
                "worker.h{i}.host={address}\nworker.h{i}.port=8009\nworker.h{i}.lbfactor=2"
            );
        }
        apache.push_str("</Proxy>\n");
        for (format, text) in [(ConfigFormat::Apache, apache), (ConfigFormat::Jk, jk)] {
            let started = Instant::now();
            let lines = black_box(text.lines().filter(|l| !l.trim().is_empty()).count());
            let lines_took = started.elapsed();
            let started = Instant::now();
            let import = read(
                &mut SingleFile(text.clone()),
                "f",
                format,
                &ImportOptions::default(),
            )
            .expect("a good file");
            let read_took = started.elapsed();
            let all: BTreeMap<String, (f64, HostState)> = import
                .hosts
                .iter()
                .map(|h| (h.name.clone(), (3.0, HostState::Draining)))
                .collect();
            let started = Instant::now();
            let written = import.with_changes(&all).expect("good changes");
            let write_took = started.elapsed();
            println!(
                "{format:?}, {} hosts, {lines} lines, {} KiB: read in {read_took:.2?} (lines alone {lines_took:.2?}), all written back in {write_took:.2?}, {} KiB",
                import.hosts.len(),
                text.len() / 1024,
                written[0].text.len() / 1024
            );
        }
    }
}
