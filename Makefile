# The project's entry points; each works on a fresh Debian 12 machine.
PACKAGES := libnghttp2-dev libcpp-httplib-dev libboost-program-options-dev \
  libboost-log-dev libboost-dev libabsl-dev libcriterion-dev librapidcheck-dev \
  nlohmann-json3-dev libmsgpack-cxx-dev libxxhash-dev libssl-dev prometheus-cpp-dev ninja-build cmake g++ \
  clang-format-16 clang-tidy-16
SOURCES := $(shell git ls-files '*.cpp' '*.hpp')
JOBS ?= $(shell nproc)

.PHONY: deps build test demo bench lint format format-check test-sanitized clean

deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || (apt-get update -q && \
	  apt-get install -y -q --no-install-recommends $(PACKAGES))

build: deps
	cmake --preset release
	cmake --build build -j $(JOBS)

test: build
	ctest --test-dir build --output-on-failure

format-check: deps
	clang-format-16 --dry-run --Werror $(SOURCES)

format: deps
	clang-format-16 -i $(SOURCES)

demo: build
	build/oriolefall-bench demo traces/demo.jsonl

bench: build
	build/oriolefall-bench decider
	build/oriolefall-bench overhead
	build/oriolefall-bench fleet --instances 6 24 96 --seconds 15

# The linter can't read the compiler's precompiled headers.
lint: build
	cmake --preset release -B build-lint -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON
	.ci/lint build build-lint $(JOBS)

test-sanitized: deps
	cmake --preset asan
	cmake --build build-asan -j $(JOBS)
	ctest --test-dir build-asan --output-on-failure
	cmake --preset tsan
	cmake --build build-tsan -j $(JOBS)
	ctest --test-dir build-tsan --output-on-failure

clean:
	rm -rf build build-lint build-asan build-tsan
