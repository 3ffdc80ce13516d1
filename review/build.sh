#!/bin/sh
# Builds the stand-ins of all cases with rustc alone: no dependency, no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/case.rs; do
    n=${case%%/*}
    rustc --edition 2024 -O -o "bin/case$n" "$case"
done
