//! The cost of whole plays of the module by the size of the fleet: 50 requests with all steps that they lead to.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use quartzhall_scale::steps::{measure, Measurement};
use std::hint::black_box;
use std::time::Duration;

/// Requests of one play.
const ARRIVALS: usize = 50;

fn plays(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("requests");
    group.sample_size(10);
    for replicas in [100, 300, 1000] {
        let measurement = Measurement {
            replicas,
            cold: 0.0,
            dispatchers: 530,
            seed: 1,
            arrivals: ARRIVALS,
            within: Duration::from_secs(60),
        };
        let id = BenchmarkId::from_parameter(replicas);
        group.bench_with_input(id, &measurement, |bencher, it| {
            bencher.iter(|| black_box(measure(it)))
        });
    }
    group.finish();
}

criterion_group!(benches, plays);
criterion_main!(benches);
