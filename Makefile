# Thin front for CMake. The build itself is described in CMakeLists.txt.

.PHONY: all proto packages demo test test-asan test-tsan lint format bench bench-capacity bench-policy fuzz clean

all: build/build.ninja
	@cmake --build build

build/build.ninja:
	@cmake --preset release

packages:
	@tools/install-packages

demo: packages all
	@tools/demo

test: packages all
	@tools/run-tests build

test-asan: packages
	@cmake --preset asan >/dev/null
	@cmake --build build-asan
	@tools/run-tests build-asan

test-tsan: packages
	@cmake --preset tsan >/dev/null
	@cmake --build build-tsan
	@tools/run-tests --unit build-tsan

lint: packages build/build.ninja
	@tools/lint

format:
	@tools/lint --fix

proto:
	@cd packages/wire/proto && protoc-c --c_out=../generated message.proto dispatch.proto

fuzz:
	@tools/fuzz

bench: all
	@tools/bench

# POLICY_OPTIONS selects a part: make bench-policy POLICY_OPTIONS='--cases steady_80 --seconds 10'
bench-policy: all
	@build/bench/policy_bench $(POLICY_OPTIONS)

bench-capacity: all
	@build/bench/capacity_bench

clean:
	@rm -rf build build-asan build-tsan build-fuzz
