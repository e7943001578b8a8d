use super::*;

/// Returns samples of a line with noise. All samples of a block share part of the noise, as requests that met the same queue do.
fn noisy_samples(seed: u64, blocks: u64) -> Vec<Sample> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut samples = Vec::new();
    for block in 0..blocks {
        let shared: f64 = rng.gen_range(-0.5..0.5);
        for number in 0..8 {
            let size = rng.gen_range(0.0..10.0);
            let seconds = 3.0 + 2.0 * size + shared + rng.gen_range(-0.5..0.5);
            samples.push(Sample {
                at_us: block * BLOCK_US + number * 1000,
                size,
                seconds,
            });
        }
    }
    samples
}

/// The 90% intervals contain the true value in about 90% of the cases, and are narrow.
#[test]
fn intervals_contain_the_true_value_as_often_as_stated() {
    for (estimator, truth, max_width) in [
        (Estimator::Slope, 2.0, 0.1),
        (Estimator::Intercept, 3.0, 0.5),
    ] {
        let mut covered = 0;
        for seed in 0..200 {
            let Estimate::Known { low, high, .. } =
                estimate(&noisy_samples(seed, 40), estimator, seed)
            else {
                panic!()
            };
            covered += u32::from((low..=high).contains(&truth));
            assert!(high - low < max_width, "{estimator:?}: {low} to {high}");
        }
        // 180 of 200 are expected. The bounds allow for random variation and for the narrower intervals that few blocks give.
        assert!(
            (160..=196).contains(&covered),
            "{estimator:?}: {covered} of 200"
        );
    }
}

#[test]
fn too_little_data_gives_no_estimate() {
    let few = noisy_samples(1, 4);
    assert_eq!(
        estimate(&few, Estimator::Slope, 1),
        Estimate::Unknown {
            samples: 32,
            blocks: 4
        }
    );
    let same: Vec<Sample> = noisy_samples(1, 40)
        .into_iter()
        .map(|sample| Sample {
            size: 5.0,
            ..sample
        })
        .collect();
    assert_eq!(
        estimate(&same, Estimator::Slope, 1),
        Estimate::Unknown {
            samples: 320,
            blocks: 40
        }
    );
    assert!(matches!(
        estimate(&same, Estimator::Mean, 1),
        Estimate::Known { .. }
    ));
    assert_eq!(
        estimate(&[], Estimator::Mean, 1),
        Estimate::Unknown {
            samples: 0,
            blocks: 0
        }
    );
}

#[test]
fn same_seed_gives_same_estimate_for_any_order_of_samples() {
    let samples = noisy_samples(3, 20);
    let backwards: Vec<Sample> = samples.iter().rev().copied().collect();
    assert_eq!(
        estimate(&samples, Estimator::Slope, 7),
        estimate(&backwards, Estimator::Slope, 7)
    );
    let Estimate::Known {
        value, low, high, ..
    } = estimate(&samples, Estimator::Slope, 7).inverse()
    else {
        panic!()
    };
    assert!(low <= value && value <= high && (0.4..0.6).contains(&value));
}
