#!/bin/sh
# Builds the stand-ins of all cases: one program, the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
exec rustc --edition 2021 -O -o bin/standin standin/main.rs
