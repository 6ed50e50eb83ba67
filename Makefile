# Thin front for CMake. The build itself is described in CMakeLists.txt.

.PHONY: all proto packages demo test lint format bench bench-capacity bench-policy fuzz clean

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

lint: packages build/build.ninja
	@tools/lint

format:
	@tools/lint --fix

proto:
	@cd packages/wire/proto && protoc-c --c_out=../generated message.proto

fuzz:
	@tools/fuzz

bench: all
	@tools/bench

bench-capacity: all
	@build/bench/capacity_bench

clean:
	@rm -rf build build-asan build-tsan build-fuzz
