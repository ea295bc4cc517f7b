#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, under target/review-2. They need the
# compiler and its standard library only; the project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
pids=()
for source in review/play-2/*.cc; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$(basename "$source" .cc)" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
