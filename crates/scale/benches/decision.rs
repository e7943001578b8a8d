//! Benchmark of the routing module by the size of the fleet: it simulates 50 requests with all steps that they cause.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use quartzhall_scale::steps::{measure, StepMeasurement};
use std::hint::black_box;
use std::time::Duration;

/// Requests in one simulation.
const MAX_ARRIVALS: usize = 50;

fn measure_requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("requests");
    group.sample_size(10);
    for replicas in [100, 300, 1000] {
        let measurement = StepMeasurement {
            replicas,
            warming_up_share: 0.0,
            dispatchers: 530,
            seed: 1,
            max_arrivals: MAX_ARRIVALS,
            max_duration: Duration::from_secs(60),
        };
        let id = BenchmarkId::from_parameter(replicas);
        group.bench_with_input(id, &measurement, |bencher, measurement| {
            bencher.iter(|| black_box(measure(measurement)));
        });
    }
    group.finish();
}

criterion_group!(benches, measure_requests);
criterion_main!(benches);
