#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 with the compiler alone: no library, no network. Each kind of machine has a folder of
# its own, and nothing is done while the program is newer than its sources. The tile server is built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
folder="target/review-3/$(uname -m)"
program="$folder/cases"
if [ -x "$program" ] && [ -z "$(find review/standin-3 -name '*.rs' -newer "$program")" ]; then
    exit 0
fi
mkdir -p "$folder" || exit 2
rustc --edition 2024 -O review/standin-3/main.rs -o "$program.$$" && mv "$program.$$" "$program" || exit 2
