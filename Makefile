# Build, test, lint and run. `make check` is what CI runs.
CONFIG ?= /run/balancer/config.json

.PHONY: build check format lint test run clean

build:
	cargo build --release --locked

check:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
	cargo test --locked

format:
	cargo fmt

lint:
	cargo clippy --locked --all-targets -- -D warnings

test:
	cargo test --locked

run: build
	target/release/quartzhall serve --config $(CONFIG)

clean:
	cargo clean
