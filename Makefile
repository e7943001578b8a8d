# Build, test, lint and run. `make check` is what CI runs.
CONFIG ?= /run/balancer/config.json

.PHONY: build check format lint test run clean

build:
	cargo build --release --locked

check:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	cargo test --locked --workspace

format:
	cargo fmt --all

lint:
	cargo clippy --locked --workspace --all-targets -- -D warnings

test:
	cargo test --locked --workspace

run: build
	target/release/quartzhall serve --config $(CONFIG)

clean:
	cargo clean
