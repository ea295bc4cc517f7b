#!/usr/bin/env bash
# Builds what the scripts of the cases in review/11 to review/15 start, under target/review-3: the project's
# own stand-ins, with the libraries of the build of the deploy file (scripts/build_system.sh), which
# runs before, and the small programs of review/play-3. It needs no network and no package beyond
# those of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out/bin"
includes=(-I "target/deps/include" -I packages/standin/src)
for package in core http wire platform config standin; do includes+=(-I "packages/$package/include"); done
mapfile -t sources < <(find packages/standin/src -name '*.cc' | sort)
objects=()
for source in "${sources[@]}"; do
  object="$out/$(echo "$source" | tr / _).o"
  objects+=("$object")
  [ "$object" -nt "$source" ] && continue
  g++ -std=c++20 -O2 -D_TURN_OFF_PLATFORM_STRING "${includes[@]}" -c "$source" -o "$object" &
done
wait
g++ -o "$out/bin/ebonypin_standin" "${objects[@]}" -Wl,--start-group target/packages/platform/libebonypin_platform.a \
  target/packages/http/libebonypin_http.a target/packages/core/libebonypin_core.a target/packages/wire/libebonypin_wire.a \
  -Wl,--end-group -lcpprest -lssl -lcrypto -lgflags -lfmt -lcapnp-rpc -lcapnp -lkj-async -lkj -lxxhash -lboost_system -pthread
for source in review/play-3/*.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -o "$out/bin/$(basename "$source" .cc)" "$source" -pthread
done
