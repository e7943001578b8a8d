use super::*;

/// A line with noise that samples of one block share in part, as those that met the same queue do.
fn noisy(seed: u64, blocks: u64) -> Vec<Sample> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut samples = Vec::new();
    for block in 0..blocks {
        let shared: f64 = random.gen_range(-0.5..0.5);
        for number in 0..8 {
            let x = random.gen_range(0.0..10.0);
            let y = 3.0 + 2.0 * x + shared + random.gen_range(-0.5..0.5);
            samples.push(Sample {
                at: block * BLOCK_US + number * 1000,
                x,
                y,
            });
        }
    }
    samples
}

/// The intervals cover the truth about as often as they say, and are not wide for it.
#[test]
fn intervals_cover_what_they_say() {
    for (part, truth, widest) in [(Part::Slope, 2.0, 0.1), (Part::Start, 3.0, 0.5)] {
        let mut covered = 0;
        for seed in 0..200 {
            let Figure::Known { low, high, .. } = figure(&noisy(seed, 40), part, seed) else {
                panic!()
            };
            covered += u32::from((low..=high).contains(&truth));
            assert!(high - low < widest, "{part:?}: {low} to {high}");
        }
        // 90% of 200, with the chance in that and what few blocks lose.
        assert!((160..=196).contains(&covered), "{part:?}: {covered} of 200");
    }
}

#[test]
fn too_little_data_is_said() {
    let few = noisy(1, 4);
    assert_eq!(
        figure(&few, Part::Slope, 1),
        Figure::Unknown {
            samples: 32,
            blocks: 4
        }
    );
    let same: Vec<Sample> = noisy(1, 40)
        .into_iter()
        .map(|it| Sample { x: 5.0, ..it })
        .collect();
    assert_eq!(
        figure(&same, Part::Slope, 1),
        Figure::Unknown {
            samples: 320,
            blocks: 40
        }
    );
    assert!(matches!(figure(&same, Part::Mean, 1), Figure::Known { .. }));
    assert_eq!(
        figure(&[], Part::Mean, 1),
        Figure::Unknown {
            samples: 0,
            blocks: 0
        }
    );
}

#[test]
fn the_same_seed_gives_the_same_figure_whatever_the_order() {
    let samples = noisy(3, 20);
    let backwards: Vec<Sample> = samples.iter().rev().copied().collect();
    assert_eq!(
        figure(&samples, Part::Slope, 7),
        figure(&backwards, Part::Slope, 7)
    );
    let Figure::Known {
        value, low, high, ..
    } = inverse(figure(&samples, Part::Slope, 7))
    else {
        panic!()
    };
    assert!(low <= value && value <= high && (0.4..0.6).contains(&value));
}
