//! Ranges from which scenarios are drawn: the ranges of the specification, each of which an experiment can override.

use super::{
    ClassSpec, DiscoverySpec, Fault, FaultKind, Machine, NetSpec, Pick, ProxySpec, RetryPolicy, Scenario,
    TenantSpec,
};
use crate::service_report::{Class, Terms};
use crate::streams::{Streams, chance, one_of, shuffle, unit, within};
use rand_pcg::Pcg64Mcg;

/// Ranges of a kind of machine.
#[derive(Debug, Clone, PartialEq)]
struct Kind {
    speed: [f64; 2],
    cv: [f64; 2],
    cold_from: [f64; 2],
    cold_s: [f64; 2],
    weight: f64,
}

/// Ranges of all parameters of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Ranges {
    seconds: [f64; 2],
    load: [f64; 2],
    servers: [f64; 2],
    proxies: [f64; 2],
    subset: usize,
    advice_fraction: [f64; 2],
    retry_policies: Vec<String>,
    pick_policies: Vec<Pick>,
    swing: [f64; 2],
    faults: Vec<String>,
    fault_count: [f64; 2],
    slow_factor: [f64; 2],
    deploy_fraction: [f64; 2],
    burst_size: [f64; 2],
    loss: [f64; 2],
    notice_s: [f64; 2],
    registry: bool,
    refresh_s: f64,
    read_share: [f64; 2],
    kinds: [Kind; 2],
    tenant_flood: Option<(usize, f64)>,
}

/// Error for an unknown setting or an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// The setting doesn't exist.
    #[error("expected one of {expected}, got setting '{name}'", expected = NAMES.join(", "))]
    Name {
        /// Name of the setting.
        name: String,
    },
    /// The value is invalid for the setting.
    #[error("expected {expected} as '{name}', got '{value}'")]
    Value {
        /// Name of the setting.
        name: String,
        /// Values that the setting accepts.
        expected: String,
        /// Value found.
        value: String,
    },
}

/// Names of all settings.
const NAMES: [&str; 20] = [
    "seconds",
    "load",
    "servers",
    "proxies",
    "subset",
    "obeys",
    "retry",
    "pick",
    "swing",
    "troubles",
    "trouble_count",
    "slow_factor",
    "deploy_part",
    "burst_size",
    "loss",
    "notice_s",
    "roster",
    "refresh_s",
    "read_share",
    "flood",
];

/// Names of the faults that can be selected.
const FAULT_KINDS: [&str; 8] =
    ["burst", "crash", "slow", "deploy", "hang", "pause", "registry_away", "zone_cut"];

/// Names of all load-balancing policies.
const PICKS: [(&str, Pick); 6] = [
    ("round", Pick::Round),
    ("least", Pick::Least),
    ("two", Pick::Two),
    ("weighted", Pick::Weighted),
    ("hash", Pick::Hash),
    ("fastest", Pick::Fastest),
];

impl Default for Ranges {
    fn default() -> Self {
        Self::specified()
    }
}

impl Ranges {
    /// Ranges of the specification, with the faults seen in production.
    pub fn specified() -> Self {
        let small = Kind {
            speed: [0.5, 0.7],
            cv: [0.051, 0.23],
            cold_from: [0.21, 0.39],
            cold_s: [6.0, 18.0],
            weight: 3.0,
        };
        let large = Kind {
            speed: [1.0, 1.3],
            cv: [0.11, 0.21],
            cold_from: [0.33, 0.48],
            cold_s: [5.3, 18.0],
            weight: 7.0,
        };
        Self {
            seconds: [45.0, 55.0],
            load: [0.52, 0.66],
            servers: [10.0, 12.0],
            proxies: [3.0, 5.0],
            subset: 0,
            advice_fraction: [0.8, 1.0],
            retry_policies: vec!["unlimited".into()],
            // The list publishes nominal weights, and clients use them.
            pick_policies: vec![Pick::Weighted],
            swing: [0.11, 0.29],
            faults: FAULT_KINDS[..4].iter().map(ToString::to_string).collect(),
            fault_count: [1.0, 2.99],
            slow_factor: [2.6, 8.4],
            deploy_fraction: [0.56, 1.0],
            burst_size: [1.3, 1.6],
            loss: [0.0, 0.0],
            notice_s: [1.0, 5.0],
            registry: false,
            refresh_s: 5.0,
            read_share: [0.22, 0.28],
            kinds: [small, large],
            tenant_flood: None,
        }
    }

    /// Changes a setting: a number, `FROM..TO`, or names separated by commas.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), SettingError> {
        let bad = |expected: &str| SettingError::Value {
            name: name.to_string(),
            expected: expected.to_string(),
            value: value.to_string(),
        };
        let range = |least: f64, most: f64| {
            let (from, to) = value.split_once("..").unwrap_or((value, value));
            let read = |text: &str| text.trim().parse::<f64>().ok().filter(|v| (least..=most).contains(v));
            match (read(from), read(to)) {
                (Some(from), Some(to)) if from <= to => Ok([from, to]),
                _ => Err(bad(&format!("a number, or FROM..TO, from {least} to {most}"))),
            }
        };
        let words =
            || value.split(',').map(str::trim).filter(|word| !word.is_empty()).map(str::to_string).collect();
        match name {
            "seconds" => self.seconds = range(1.0, 86_400.0)?,
            "load" => self.load = range(0.01, 100.0)?,
            "servers" => self.servers = range(1.0, 100_000.0)?,
            "proxies" => self.proxies = range(1.0, 10_000.0)?,
            "subset" => self.subset = range(0.0, 100_000.0)?[1] as usize,
            "obeys" => self.advice_fraction = range(0.0, 1.0)?,
            "swing" => self.swing = range(0.0, 0.9)?,
            "trouble_count" => self.fault_count = range(0.0, 20.99)?,
            "slow_factor" => self.slow_factor = range(1.0, 1_000.0)?,
            "deploy_part" => self.deploy_fraction = range(0.0, 1.0)?,
            "burst_size" => self.burst_size = range(1.0, 100.0)?,
            "loss" => self.loss = range(0.0, 0.5)?,
            "notice_s" => self.notice_s = range(0.0, 600.0)?,
            "refresh_s" => self.refresh_s = range(0.5, 600.0)?[1],
            "read_share" => self.read_share = range(0.0, 2.0)?,
            "retry" => {
                let names: Vec<String> = words();
                if names.is_empty() || names.iter().any(|name| RetryPolicy::named(name).is_none()) {
                    return Err(bad(&format!("some of {}", RetryPolicy::NAMES.join(", "))));
                }
                self.retry_policies = names;
            }
            "pick" => {
                let named =
                    |word: &String| PICKS.iter().find(|(name, _)| name == word).map(|(_, pick)| *pick);
                let pick_policies: Option<Vec<Pick>> = words().iter().map(named).collect();
                let non_empty = pick_policies.filter(|pick_policies| !pick_policies.is_empty());
                self.pick_policies =
                    non_empty.ok_or_else(|| bad("some of round, least, two, weighted, hash, fastest"))?;
            }
            "troubles" => {
                let names: Vec<String> = if value == "none" { Vec::new() } else { words() };
                if names.iter().any(|name| !FAULT_KINDS.contains(&name.as_str())) {
                    return Err(bad(&format!("none, or some of {}", FAULT_KINDS.join(", "))));
                }
                self.faults = names;
            }
            "roster" => {
                self.registry = match value {
                    "list" => false,
                    "registry" => true,
                    _ => return Err(bad("list or registry")),
                }
            }
            "flood" => {
                // For example `1:5`: the second tenant at five times its quota.
                let parsed = value.split_once(':').and_then(|(tenant, times)| {
                    Some((tenant.trim().parse::<usize>().ok()?, times.trim().parse::<f64>().ok()?))
                });
                let tenants = Terms::specified(1.0).tenants.len();
                let ok =
                    parsed.filter(|(tenant, times)| *tenant < tenants && *times > 0.0 && *times <= 100.0);
                self.tenant_flood = Some(ok.ok_or_else(|| bad("OFFICE:TIMES, as 1:5"))?);
            }
            _ => return Err(SettingError::Name { name: name.to_string() }),
        }
        Ok(())
    }

    /// Draws the scenario of a seed. A setting fixed to one value doesn't change what else is drawn.
    pub fn draw(&self, seed: u64) -> Scenario {
        let streams = Streams::new(seed);
        let mut rng = streams.of("day", 0);
        let seconds = within(&mut rng, self.seconds);
        let load = within(&mut rng, self.load);
        let count = |rng: &mut Pcg64Mcg, range: [f64; 2]| {
            (within(rng, [range[0], range[1] + 0.999]) as usize).clamp(range[0] as usize, range[1] as usize)
        };
        let servers = count(&mut rng, self.servers).max(1);
        let proxies = count(&mut rng, self.proxies).max(1);
        let zones = 3;
        let classes = classes(&mut streams.of("classes", 0));
        let mean_ms: f64 = classes.iter().map(|class| class.share * class.work_ms).sum();
        let hold_kb = within(&mut rng, [8.0, 64.0]);
        let run_factor = 8.0;
        let memory_runs = within(&mut rng, [8.7, 23.0]);
        let key_room = within(&mut rng, [0.11, 0.34]);
        let machines: Vec<Machine> = machines(&self.kinds, servers, zones, &streams)
            .into_iter()
            .map(|machine| Machine {
                memory_kb: memory_runs * f64::from(machine.cores) * run_factor * 1.8 * hold_kb,
                ..machine
            })
            .collect();
        let memory: f64 = machines.iter().map(|machine| machine.memory_kb).sum();
        let cores: f64 = machines.iter().map(|machine| f64::from(machine.cores) * machine.speed).sum();
        let keys = cores * 1e3 / mean_ms * classes[3].share * 12.075;
        let mut scenario = Scenario {
            seed,
            seconds,
            load,
            shape: shape(seconds, within(&mut rng, self.swing), &mut streams.of("shape", 0)),
            classes,
            tenants: Vec::new(),
            quota_of_capacity: within(&mut rng, [0.62, 1.0]),
            machines,
            proxies: Vec::new(),
            net: NetSpec {
                zones,
                same_ms: within(&mut rng, [0.15, 0.3]),
                cross_ms: within(&mut rng, [1.4, 2.6]),
                jitter: within(&mut rng, [0.1, 0.4]),
                loss: within(&mut rng, self.loss),
                resend_ms: 200.0,
                cancellation_loss: within(&mut rng, [0.0, 0.05]),
            },
            discovery: if self.registry {
                let refresh_s = self.refresh_s;
                DiscoverySpec::Registry {
                    heartbeat_s: 5.0,
                    refresh_s,
                    cache_s: refresh_s / 2.0,
                    lease_s: 15.0,
                }
            } else {
                DiscoverySpec::List { notice_s: self.notice_s, silent_s: 3.0 }
            },
            faults: Vec::new(),
            read_share: within(&mut rng, self.read_share),
            backlog_per_core: 128,
            hold_kb,
            size_cv: within(&mut rng, [0.2, 0.7]),
            run_factor,
            key_kb: memory * key_room / keys.max(1.0),
            restart_s: within(&mut rng, [4.0, 8.0]),
        };
        scenario.tenants = self.tenants(&mut streams.of("offices", 0));
        scenario.proxies = self.proxies(proxies, zones, within(&mut rng, self.advice_fraction), &streams);
        scenario.faults = self.faults(&scenario, &mut streams.of("troubles", 0));
        add_successors(&mut scenario, &streams);
        scenario
    }

    fn tenants(&self, rng: &mut Pcg64Mcg) -> Vec<TenantSpec> {
        let mut tenants: Vec<TenantSpec> = Terms::specified(1.0)
            .tenants
            .into_iter()
            .map(|tenant| TenantSpec { traffic: tenant.share * within(rng, [0.75, 1.3]), tenant })
            .collect();
        if let Some((flooded, times)) = self.tenant_flood {
            tenants[flooded].traffic = tenants[flooded].tenant.share * times;
        }
        let sum: f64 = tenants.iter().map(|tenant| tenant.traffic).sum();
        tenants.iter_mut().for_each(|tenant| tenant.traffic /= sum);
        tenants
    }

    fn proxies(&self, count: usize, zones: usize, advice_fraction: f64, streams: &Streams) -> Vec<ProxySpec> {
        let mut respects: Vec<bool> =
            (0..count).map(|n| n < (advice_fraction * count as f64).round().max(0.0) as usize).collect();
        shuffle(&mut streams.of("heed", 0), &mut respects);
        (0..count)
            .map(|number| {
                let mut rng = streams.of("proxy-kind", number as u64);
                let name = &self.retry_policies[one_of(&mut rng, self.retry_policies.len())];
                let pick = self.pick_policies[one_of(&mut rng, self.pick_policies.len())];
                let backoff = within(&mut rng, [0.7, 1.4]);
                let retry_policy = RetryPolicy::named(name).unwrap_or_else(|| RetryPolicy::plain(pick));
                let retry_policy =
                    RetryPolicy { pick, backoff_ms: retry_policy.backoff_ms * backoff, ..retry_policy };
                ProxySpec {
                    zone: number % zones,
                    retry_policy,
                    respects_advice: respects[number],
                    subset: self.subset,
                }
            })
            .collect()
    }

    fn faults(&self, scenario: &Scenario, rng: &mut Pcg64Mcg) -> Vec<Fault> {
        if self.faults.is_empty() {
            return Vec::new();
        }
        let machine_sample = |rng: &mut Pcg64Mcg, part: f64| {
            let mut all: Vec<usize> = (0..scenario.machines.len()).collect();
            shuffle(rng, &mut all);
            all.truncate(((part * all.len() as f64).round() as usize).max(1));
            all
        };
        let count = within(rng, self.fault_count) as usize;
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| {
                let name = &self.faults[one_of(rng, self.faults.len())];
                // Drawn for every kind, so that a changed range affects nothing else.
                let (part, len, more) = (unit(rng), unit(rng), unit(rng));
                let at = |range: [f64; 2], t: f64| range[0] + (range[1] - range[0]) * t;
                let (len_s, share, what) = match name.as_str() {
                    "burst" => (
                        at([2.1, 9.9], len),
                        0.0,
                        FaultKind::Burst { size: at(self.burst_size, part), edge_s: at([0.59, 1.8], more) },
                    ),
                    "crash" => (at([6.2, 24.0], len), at([0.08, 0.2], part), FaultKind::Crash),
                    "slow" => (
                        at([14.0, 30.0], len),
                        at([0.1, 0.25], part),
                        FaultKind::Slow { factor: at(self.slow_factor, more) },
                    ),
                    "deploy" => {
                        let batch = (at([0.053, 0.19], part) * scenario.machines.len() as f64) as usize;
                        let what = FaultKind::Deploy {
                            batch: batch.max(1),
                            drain_s: at([3.2, 5.3], more),
                            successors: Vec::new(),
                        };
                        (at([37.0, 22.0], len), at(self.deploy_fraction, part), what)
                    }
                    "hang" => (at([2.0, 8.0], len), at([0.05, 0.2], part), FaultKind::Hang),
                    "pause" => (at([0.5, 3.0], len), at([0.05, 0.2], part), FaultKind::Pause),
                    "registry_away" => (at([8.0, 25.0], len), 0.0, FaultKind::RegistryAway),
                    _ => (at([3.0, 12.0], len), 0.0, FaultKind::ZoneCut { zone: (part * 3.0) as usize % 3 }),
                };
                let on = if share > 0.0 { machine_sample(rng, share) } else { Vec::new() };
                let at_s = within(rng, [0.1, 0.6]) * scenario.seconds;
                Fault { at_s, len_s, what, on }
            })
            .collect();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        faults
    }
}

/// Adds a machine for each successor of a deployment: the same kind as the machine it replaces, with a slightly
/// different speed.
fn add_successors(scenario: &mut Scenario, streams: &Streams) {
    for number in 0..scenario.faults.len() {
        let on = scenario.faults[number].on.clone();
        if let FaultKind::Deploy { successors, .. } = &mut scenario.faults[number].what {
            for old in on {
                let mut rng = streams.of("successor", scenario.machines.len() as u64);
                let machine = &scenario.machines[old];
                let speed = machine.speed * within(&mut rng, [0.85, 1.15]);
                successors.push(scenario.machines.len());
                scenario.machines.push(Machine { speed, spare: true, ..machine.clone() });
            }
        }
    }
}

fn classes(rng: &mut Pcg64Mcg) -> Vec<ClassSpec> {
    let work = [[199.0, 335.0], [268.0, 492.0], [199.0, 335.0], [199.0, 335.0]];
    let cvs = [[0.5, 1.2], [0.58, 1.2], [0.42, 1.2], [0.41, 1.1]];
    let shares = [0.36, 0.29, 0.23, 0.12];
    let memory = [2.0, 1.0, 2.0, 2.0];
    let all: Vec<Class> = Terms::specified(1.0).classes;
    all.into_iter()
        .enumerate()
        .map(|(n, class)| ClassSpec {
            class,
            share: shares[n],
            work_ms: within(rng, work[n]),
            cv: within(rng, cvs[n]),
            memory: memory[n],
        })
        .collect()
}

fn machines(kinds: &[Kind; 2], count: usize, zones: usize, streams: &Streams) -> Vec<Machine> {
    let mut rng = streams.of("kinds", 0);
    // Parameters shared by all machines of a kind are drawn once.
    let drawn: Vec<(f64, f64, f64, f64, f64)> = kinds
        .iter()
        .map(|kind| {
            let thrash = within(&mut rng, [0.6, 0.8]);
            let knee = within(&mut rng, [1.2, 1.5]);
            (
                within(&mut rng, kind.cv),
                within(&mut rng, kind.cold_from),
                within(&mut rng, kind.cold_s),
                thrash,
                knee,
            )
        })
        .collect();
    // Half of the machines of each kind, in random order.
    let mut places: Vec<usize> = (0..count).map(|n| n % 2).collect();
    shuffle(&mut rng, &mut places);
    let cores = 6;
    (0..count)
        .map(|number| {
            let (kind, (cv, cold_from, cold_s, thrash, knee)) =
                (&kinds[places[number]], drawn[places[number]]);
            let mut rng = streams.of("machine", number as u64);
            let mean = within(&mut rng, kind.speed);
            let off = 1.0 + cv * (unit(&mut rng) + unit(&mut rng) + unit(&mut rng) - 1.5) * 2.0;
            let zone = if chance(&mut rng, 0.9) { number % zones } else { one_of(&mut rng, zones) };
            Machine {
                cores,
                speed: (mean * off).clamp(kind.speed[0] * 0.6, kind.speed[1] * 1.5),
                zone,
                knee: knee * f64::from(cores),
                thrash,
                cold_from,
                cold_s,
                memory_kb: 0.0,
                weight: kind.weight,
                spare: false,
            }
        })
        .collect()
}

/// Constant or sinusoidal traffic with some noise.
fn shape(seconds: f64, swing: f64, rng: &mut Pcg64Mcg) -> Vec<(f64, f64)> {
    let (wave, phase, length) = (chance(rng, 0.5), unit(rng), within(rng, [15.0, 45.0]));
    (0..=seconds.ceil() as usize)
        .map(|second| {
            let s = second as f64;
            let angle = std::f64::consts::TAU * (s / length + phase);
            let course = if wave { swing * angle.sin() } else { 0.0 };
            (s, 1.0 + course + 0.1 * (unit(rng) - 0.5))
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a changed setting that affects other parameters.
    #[test]
    fn a_setting_changes_no_other_parameter() {
        let base = Ranges::specified();
        let mut other = base.clone();
        other.set("load", "3").unwrap();
        other.set("slow_factor", "4").unwrap();
        other.set("retry", "none").unwrap();
        let (a, b) = (base.draw(5), other.draw(5));
        let used = |scenario: &Scenario| {
            scenario.machines.iter().filter(|m| !m.spare).cloned().collect::<Vec<Machine>>()
        };
        assert_eq!(used(&a), used(&b));
        assert_eq!((&a.classes, &a.tenants, &a.net), (&b.classes, &b.tenants, &b.net));
        assert_eq!(a.faults.len(), b.faults.len());
        assert_eq!(b.load, 3.0);
        assert_eq!(a.redraw(&base), a);
    }

    impl Scenario {
        fn redraw(&self, ranges: &Ranges) -> Scenario {
            ranges.draw(self.seed)
        }
    }

    /// Guards against invalid settings that are accepted.
    #[test]
    fn invalid_settings_are_rejected() {
        let mut ranges = Ranges::specified();
        for (name, value) in [
            ("load", "much"),
            ("load", "2..1"),
            ("servers", "0"),
            ("retry", "sometimes"),
            ("pick", ""),
            ("troubles", "burst,flu"),
            ("roster", "paper"),
            ("flood", "9:2"),
        ] {
            let error = ranges.set(name, value).unwrap_err();
            assert!(error.to_string().contains(name), "{error}");
        }
        assert!(matches!(ranges.set("colour", "1"), Err(SettingError::Name { .. })));
        assert_eq!(ranges, Ranges::specified());
        for name in NAMES {
            assert!(!matches!(ranges.set(name, "?"), Err(SettingError::Name { .. })), "{name}");
        }
    }

    /// The figures of the specification: about 110 requests per second on average, and every parameter within its
    /// range.
    #[test]
    fn drawn_scenarios_match_the_specification() {
        let rates: Vec<f64> = (0..40)
            .map(|seed| {
                let scenario = Ranges::specified().draw(seed);
                let used = scenario.machines.iter().filter(|machine| !machine.spare).count();
                assert!((10..=12).contains(&used) && (3..=5).contains(&scenario.proxies.len()));
                assert!(scenario.faults.len() <= 2 && !scenario.faults.is_empty());
                assert!(
                    scenario.rate(scenario.base_rate(), 10.0)
                        <= scenario.max_rate(scenario.base_rate()) + 1e-9
                );
                scenario.base_rate()
            })
            .collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        assert!((90.0..130.0).contains(&mean), "{mean}");
    }
}
