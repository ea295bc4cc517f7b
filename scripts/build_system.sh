#!/usr/bin/env bash
# Builds the programs of a deployment, without tests, under target/. The packages named in
# deploy/system.toml are installed already; the headers of Boost.LEAF are unpacked by scripts/deps.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
EBONYPIN_DEPS_DIR=target/deps EBONYPIN_DEPS_ONLY_LEAF=1 scripts/deps.sh
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DEBONYPIN_DEPS_DIR="$PWD/target/deps" -DEBONYPIN_ONLY_PROGRAMS=ON -DEBONYPIN_WERROR=OFF > /dev/null
cmake --build target --target ebonypind
