#!/usr/bin/env bash
# Builds what the scripts of the cases in review/11 and later start, under target/review-3: the
# project's own stand-ins, and the small programs of review/play-3. It runs after the build of the
# deploy file (scripts/build_system.sh) and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out/bin"
EBONYPIN_DEPS_DIR=target/deps EBONYPIN_DEPS_ONLY_LEAF=1 scripts/deps.sh
cmake -S . -B "$out" -G Ninja -DCMAKE_BUILD_TYPE=Release -DEBONYPIN_DEPS_DIR="$PWD/target/deps" -DEBONYPIN_WERROR=OFF > /dev/null
cmake --build "$out" --target ebonypin_standin_process
for source in review/play-3/*.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -o "$out/bin/$(basename "$source" .cc)" "$source" -pthread
done
