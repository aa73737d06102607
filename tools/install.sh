#!/usr/bin/env bash
# Installs every package that the build, the linters and the tests need (Debian 12).
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config clang clang-format clang-tidy git
    libcivetweb-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
    libboost-dev libboost-test-dev libabsl-dev liblog4cplus-dev nlohmann-json3-dev
    librapidcheck-dev libxxhash-dev libbenchmark-dev libclang-rt-14-dev curl
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
