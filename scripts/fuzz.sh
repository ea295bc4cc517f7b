#!/usr/bin/env bash
# Builds the fuzz targets with Clang and runs each for a bounded time: fuzz.sh SECONDS SEED JOBS
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-20}"
seed="${2:-1}"
jobs="${3:-4}"
build=build-fuzz
mkdir -p "$build"
CC=clang CXX=clang++ cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DEBONYPIN_FUZZ=ON \
  -DEBONYPIN_SANITIZE=fuzzer-no-link,address,undefined > "$build/cmake.log" 2>&1 || { cat "$build/cmake.log"; exit 1; }
cmake --build "$build" -j "$jobs" --target fuzz_message fuzz_batch fuzz_settings fuzz_seeds
"$build/bin/fuzz_seeds" "$build/corpus"
mkdir -p "$build/corpus/settings"
for name in message batch settings; do
  echo "fuzz $name: $seconds s, seed $seed"
  "$build/bin/fuzz_$name" -max_total_time="$seconds" -seed="$seed" -max_len=65536 -rss_limit_mb=1024 \
    -artifact_prefix="$build/$name-" "$build/corpus/$name" 2>&1 | tail -n 3
done
