# Build, test, lint and run. `make check` is what CI runs.
CONFIG ?= /run/balancer/config.json

.PHONY: build check format lint test scale soak run clean

# `make soak` runs SEEDS seeds, starting with SEED, with PROCESSES dispatchers each.
SEED ?= 1
SEEDS ?= 8
PROCESSES ?= 12

build:
	cargo build --release --locked

check:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	skips=$$(sh .ci/known-red) && cargo test --locked --workspace -- --exact $$skips
	cargo build --locked --workspace --bins
	target/debug/quartzhall-scale run crates/scale/scenarios/ci.toml --out target/scale-ci.json
	target/debug/quartzhall-scale table --check
	target/debug/quartzhall-soak --program target/debug/quartzhall --seed 3 --seeds 2 --processes 4 --seconds 6 --rate 3

format:
	cargo fmt --all

lint:
	cargo clippy --locked --workspace --all-targets -- -D warnings

test:
	skips=$$(sh .ci/known-red) && cargo test --locked --workspace -- --exact $$skips

scale: build
	cargo build --release --locked --workspace --bins
	target/release/quartzhall-scale run crates/scale/scenarios/small.toml

soak:
	cargo build --release --locked --workspace --bins
	target/release/quartzhall-soak --seed $(SEED) --seeds $(SEEDS) --processes $(PROCESSES)

run: build
	target/release/quartzhall serve --config $(CONFIG)

clean:
	cargo clean
