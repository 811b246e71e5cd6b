# Entry points for developers and CI; the build itself is CMake.
PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: all build test demo fuzz soak format lint generate check install-dependencies

all: build

install-dependencies:
	@tools/install_dependencies.sh

build: install-dependencies
	@cmake --preset $(PRESET) > /dev/null
	@cmake --build --preset $(PRESET)

test: build
	@tools/build_previous.sh $(BUILD)
	@tools/run_tests.sh $(BUILD)

demo: build
	@tools/demo.sh $(BUILD)

# Runs the fault-injection test with fresh seeds.
soak: build
	@tools/soak.sh $(BUILD)

# Runs the property tests with many more cases; FUZZ_SEED selects the seed.
fuzz: build
	@tools/fuzz.sh $(BUILD)

generate:
	@/usr/bin/python3 tools/generate.py

format:
	@git ls-files '*.h' '*.cc' | xargs -r clang-format -i

lint: build
	@tools/lint.sh $(BUILD)

check:
	@bash .ci/run
