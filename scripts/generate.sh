#!/usr/bin/env bash
# Generates the Cap'n Proto C++ sources that are committed. Needs the package capnproto; a build does not.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire"
command -v capnp > /dev/null || { echo "error: capnp not found; install with: apt-get install -y capnproto" >&2; exit 3; }
capnp compile -oc++:generated --src-prefix=schema schema/fleet.capnp schema/ebonypin.capnp
