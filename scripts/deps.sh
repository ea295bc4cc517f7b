#!/usr/bin/env bash
# Installs the declared Debian packages that are missing, and unpacks Boost.LEAF 1.81 into the build tree.
#
# libboost1.81-dev conflicts with the Boost 1.74 development packages that libcpprest-dev needs, so apt
# refuses to install both. LEAF 1.81 includes nothing outside boost/leaf*, so its headers alone are unpacked.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly LEAF_PACKAGE=libboost1.81-dev
readonly LEAF_VERSION_PREFIX=1.81.0-
readonly DEPS_DIR="${EBONYPIN_DEPS_DIR:-build/deps}"

is_installed() { dpkg-query -W -f='${Status}' "$1" 2>/dev/null | grep -q 'ok installed'; }

# Sets `missing` to the declared packages that are not installed.
find_missing() {
  local name
  missing=()
  while read -r name; do
    [[ -z "$name" || "$name" == \#* ]] && continue
    is_installed "$name" || missing+=("$name")
  done < deps/packages.txt
}

fail_missing() {
  echo "error: missing Debian package(s): ${missing[*]}" >&2
  echo "install with: apt-get update && apt-get install -y ${missing[*]}" >&2
  exit 3
}

missing=()
# The build of a deployment declares its packages in deploy/system.toml.
if [[ -z "${EBONYPIN_DEPS_ONLY_LEAF:-}" ]]; then find_missing; fi
if ((${#missing[@]} > 0)); then
  if [[ "$(id -u)" -ne 0 ]]; then fail_missing; fi
  echo "installing: ${missing[*]}"
  export DEBIAN_FRONTEND=noninteractive
  if ! { apt-get update -qq && apt-get install -y -qq "${missing[@]}"; } > /dev/null; then
    # One package that cannot be installed keeps apt from installing the others.
    for name in "${missing[@]}"; do apt-get install -y -qq "$name" > /dev/null 2>&1 || true; done
  fi
  find_missing
  if ((${#missing[@]} > 0)); then fail_missing; fi
fi

if [[ ! -f "$DEPS_DIR/include/boost/leaf/result.hpp" ]]; then
  tmp=$(mktemp -d)
  trap 'rm -rf "$tmp"' EXIT
  chmod 755 "$tmp"
  (cd "$tmp" && { apt-get download -qq "$LEAF_PACKAGE" 2>/dev/null ||
    { apt-get update -qq && apt-get download -qq "$LEAF_PACKAGE" 2>/dev/null; }; }) ||
    {
      echo "error: missing Debian package: $LEAF_PACKAGE, whose headers are unpacked into $DEPS_DIR" >&2
      echo "download with: apt-get update && apt-get download $LEAF_PACKAGE" >&2
      exit 3
    }
  deb=$(ls "$tmp"/"$LEAF_PACKAGE"_*.deb)
  version=$(dpkg-deb -f "$deb" Version)
  if [[ "$version" != "$LEAF_VERSION_PREFIX"* ]]; then
    echo "error: $LEAF_PACKAGE is $version, expected $LEAF_VERSION_PREFIX*" >&2
    exit 3
  fi
  mkdir -p "$DEPS_DIR/include"
  dpkg-deb --fsys-tarfile "$deb" |
    tar -x -C "$DEPS_DIR/include" --strip-components=3 --wildcards './usr/include/boost/leaf*'
fi
