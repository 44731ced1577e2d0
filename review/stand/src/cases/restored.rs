//! Nodes that start beside a store that has come back from a copy, while another node has kept what it lost.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Behaviour, Fleet, Record, config, get};
use crate::http::{Head, Wire};

/// Machines, and those of them that are killed at once (`herd_kill`, share .6).
const MACHINES: usize = 5;
const KILLED: usize = 3;
/// Drills in a run; it ends with the first one that breaks the rule.
const DRILLS: u64 = 3;
const HOST: &str = "jepu9.example";
const CONTACT: Duration = Duration::from_secs(3);
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Ids of requests with the service that ran them; ids with the machine and the time of sending.
type Runs = Arc<Mutex<Vec<(String, &'static str)>>>;
type Sent = Arc<Mutex<Vec<(String, usize, Instant)>>>;

fn upstream(runs: Runs, service: &'static str) -> Arc<Behaviour> {
    Arc::new(move |wire: &mut Wire, head: &Head, _: &[u8]| {
        let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
        thread::sleep(Duration::from_millis(10));
        runs.lock().unwrap().push((id.clone(), service));
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Upstream-Signature: s.{id}\r\nContent-Length: 2\r\n\r\nok"
        );
        wire.send(text.as_bytes())?;
        Ok(true)
    })
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let runs = Runs::default();
    let mut fleet = Fleet::new(record.clone())?;
    fleet.store.begin_era();
    let services = ["huvo11a", "kafi81c"];
    let before = [(HOST, "/lepu270/", "idempotent", "huvo11a", 1.5)];
    let after = [(HOST, "/lepu270/", "idempotent", "kafi81c", 1.5)];
    fleet.store.put("config", "main", config(9, &services, &before));
    let zones = ["qc-east-a", "qc-east-b", "qc-east-c"];
    for index in 0..MACHINES {
        let service = services[index % 2];
        fleet.add(zones[index % 3], service, "v1", 9, upstream(runs.clone(), service))?;
    }
    fleet.keep_beating(9);
    if !fleet.wait_served(HOST, "/lepu270/warm", Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(3));

    let sent: Sent = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    for index in 0..MACHINES {
        let (callers, sent, stop) = (fleet.machines[index].callers, sent.clone(), stop.clone());
        thread::spawn(move || {
            for turn in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(Duration::from_millis(50));
                let id = format!("m{index}-{turn}");
                let Ok(mut wire) = Wire::open(callers, Duration::from_secs(2)) else { continue };
                sent.lock().unwrap().push((id.clone(), index, Instant::now()));
                let _ = wire.send(get(HOST, "/lepu270/2f", &id, 1_500).as_bytes());
                let _ = wire.head();
            }
        });
    }
    let mut is_broken = false;
    for drill in 0..DRILLS {
        let old = 9 + 2 * drill;
        let new = old + 1;
        if drill > 0 {
            fleet.store.put("config", "main", config(old, &services, &before));
            record.add(format!("the operator writes version {old}; acknowledged"));
            thread::sleep(Duration::from_secs(3));
        }
        // The new version moves the route to another service.
        let copy = fleet.store.copy();
        record.add("a copy of the store is taken");
        thread::sleep(Duration::from_secs(1));
        fleet.store.put("config", "main", config(new, &services, &after));
        let mut from = Instant::now() + CONFIG_APPLY;
        record.add(format!("the operator writes version {new}; acknowledged"));
        thread::sleep(Duration::from_secs(3));
        if trouble {
            fleet.store.go_away();
            record.add("the store is away");
            thread::sleep(Duration::from_secs(1));
            fleet.store.come_back(&copy);
            record.add("the store is back, from the copy");
            for index in 0..KILLED {
                fleet.machines[index].kill();
                record.add(format!("{} is killed", fleet.machines[index].name));
            }
            thread::sleep(Duration::from_millis(500));
            from = Instant::now() + CONTACT;
            for index in 0..KILLED {
                fleet.start(index)?;
            }
        }
        thread::sleep(Duration::from_secs(6));
        fleet.store.put("config", "main", config(new, &services, &after));
        record.add(format!("the operator writes version {new} again; acknowledged"));
        thread::sleep(Duration::from_secs(3));

        let until = Instant::now() - Duration::from_millis(300);
        let runs = runs.lock().unwrap();
        let (mut asked, mut broken) = ([0; MACHINES], [0; MACHINES]);
        let sent = sent.lock().unwrap();
        for (id, index, _) in sent.iter().filter(|one| one.2 > from && one.2 < until) {
            asked[*index] += 1;
            if runs.iter().any(|run| run.0 == *id && run.1 == services[0]) {
                if broken[*index] == 0 {
                    record.add(format!("{id}, sent to {} in touch, is run by {}, as only version {old} allows", fleet.machines[*index].name, services[0]));
                }
                broken[*index] += 1;
            }
        }
        record.add(format!("drill {}: requests in touch by machine {asked:?}; run as only version {old} allows {broken:?}", drill + 1));
        if broken.iter().any(|count| *count > 0) {
            is_broken = true;
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for index in 0..MACHINES {
        for line in fleet.log(index).lines().filter(|line| line.contains("configuration in force") || line.contains("store-era")) {
            record.add(format!("{}: {}", fleet.machines[index].name, line.chars().take(300).collect::<String>()));
        }
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
