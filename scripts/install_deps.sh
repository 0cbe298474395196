#!/bin/sh
# Installs the Debian packages that the build and the tests require.
set -eu
packages="gcc make meson ninja-build pkg-config libglib2.0-dev
libsoup-3.0-dev libjson-glib-dev libmsgpack-dev liblog4c-dev libcunit1-dev libevent-dev libcjson-dev
clang-format clang-tidy scdoc curl"
missing=""
for package in $packages; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update
# shellcheck disable=SC2086
apt-get install -y $missing
