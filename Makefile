# Entry points for people. Everything is built below build/.

.PHONY: all setup build test demo bench fuzz sanitize lint format clean

all: build

setup:
	@scripts/setup

build: setup
	@cmake -G Ninja -B build -S . >build-configure.log 2>&1 || \
	  { cat build-configure.log; exit 1; }
	@rm -f build-configure.log
	@cmake --build build

test: build
	@scripts/run-tests

demo: build
	@scripts/demo

bench: build
	@scripts/bench

# A minute for each fuzz target.
fuzz: setup
	@scripts/fuzz

# All tests and eight seeds of the soak, with the sanitizers.
sanitize: setup
	@scripts/sanitize

lint: build
	@scripts/lint

format:
	@scripts/lint --fix

clean:
	@rm -rf build run
