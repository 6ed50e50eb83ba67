#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-3 -DCMAKE_BUILD_TYPE=Release -DGG_TESTS=OFF >/dev/null
cmake --build build-review-3 --target gg_net -j4 >/dev/null
read -ra flags < <(pkg-config --cflags glib-2.0 libuv jansson)
read -ra libs < <(pkg-config --libs glib-2.0 libuv jansson)
cc -std=c17 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-unused-parameter -Ipackages/base/include -Ipackages/net/include \
	"${flags[@]}" review/standin-3/platform.c build-review-3/packages/net/libgg_net.a \
	build-review-3/packages/base/libgg_base.a "${libs[@]}" -lhttp_parser -lsodium -lxxhash -lpthread \
	-o build-review-3/platform
