#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
read -r -a flags <<<"$(pkg-config --cflags --libs glib-2.0 libuv jansson liburcu-memb libsodium libxxhash)"
for case in review/*/case.c; do
	number=$(basename "$(dirname "$case")")
	gcc -std=c17 -O2 -g -Wall -Wextra -Wno-unused-parameter -Werror -D_GNU_SOURCE -DG_LOG_DOMAIN='"greengage"' \
		-Ireview/standin -Ipackages/base/include -Ipackages/net/include \
		"$case" review/standin/lab.c \
		target/packages/net/libgg_net.a target/packages/base/libgg_base.a \
		"${flags[@]}" -lhttp_parser -lpthread -lm -o "$out/case$number"
done
echo "built: $(ls "$out")"
