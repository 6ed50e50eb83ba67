#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start, into target/review-2. Needs the packages of
# deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
modules="glib-2.0 gio-2.0 jansson libuv liburcu libsodium libxxhash"
mkdir -p "$out"
read -ra flags <<<"$(pkg-config --cflags $modules)"
read -ra libraries <<<"$(pkg-config --libs $modules)"
includes=(-Ipackages/net/include -Ipackages/base/include)
sources=(packages/net/src/*.c packages/base/src/*.c)
for program in test/standin/platform.c review/standin-2/*.c; do
	name=$(basename "$program" .c)
	cc -std=gnu11 -O2 -o "$out/$name" "$program" "${sources[@]}" "${includes[@]}" "${flags[@]}" \
		"${libraries[@]}" -lhttp_parser -lpthread -lm
done
echo "review/build-2.sh: built in $out"
