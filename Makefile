# `make demo` runs the whole system once; `make test` builds and runs every test. See README.md.
BUILD ?= build
JOBS ?= 8
SEED ?= 1
ROUNDS ?= 200
SECONDS ?= 20

.PHONY: deps footprint fuzz build test asan tsan sanitize demo bench faults chaos capacity latency format lint generate clean

deps:
	@scripts/deps.sh

$(BUILD)/build.ninja: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > $(BUILD)/cmake.log 2>&1 || (cat $(BUILD)/cmake.log; exit 1)

build: deps $(BUILD)/build.ninja
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4 --timeout 300

demo: build
	@scripts/demo.sh $(BUILD)

bench: build
	@$(BUILD)/bin/ebonypin_bench --seed=$(SEED) --out=$(BUILD)/bench.csv

# Generated fault schedules against the decision core; the last line counts violations.
faults: build
	@$(BUILD)/bin/ebonypin_faults --seed=$(SEED) --rounds=$(ROUNDS)

format:
	@scripts/format.sh

lint: build
	@scripts/lint.sh $(BUILD)

# Measures the slopes behind docs/CAPACITY.md.
capacity: build
	@$(BUILD)/bin/ebonypin_capacity

# Runs every test under AddressSanitizer with UndefinedBehaviorSanitizer, or under ThreadSanitizer.
asan:
	@$(MAKE) sanitize SANITIZE=address,undefined SANITIZE_BUILD=build-asan

tsan:
	@$(MAKE) sanitize SANITIZE=thread SANITIZE_BUILD=build-tsan

sanitize: deps
	@mkdir -p $(SANITIZE_BUILD)
	@cmake -S . -B $(SANITIZE_BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DEBONYPIN_SANITIZE=$(SANITIZE) > $(SANITIZE_BUILD)/cmake.log 2>&1 || (cat $(SANITIZE_BUILD)/cmake.log; exit 1)
	@cmake --build $(SANITIZE_BUILD) -j $(JOBS)
	@TSAN_OPTIONS=halt_on_error=1:suppressions=$(CURDIR)/testing/tsan.supp UBSAN_OPTIONS=halt_on_error=1:suppressions=$(CURDIR)/testing/ubsan.supp ctest --test-dir $(SANITIZE_BUILD) --output-on-failure -j 2 --timeout 600

# Fuzzes each decoder for SECONDS seconds from SEED.
fuzz: deps
	@scripts/fuzz.sh $(SECONDS) $(SEED) $(JOBS)

# Plays faults on real processes for SECONDS seconds from SEED and judges what callers and workers saw.
chaos: build
	@$(BUILD)/bin/ebonypin_chaos --bin=$(BUILD)/bin --folder=$(BUILD)/chaos --seconds=$(SECONDS) --seed=$(SEED)

# Measures added latency, requests/s and appends/s on loopback, SECONDS seconds each.
latency: build
	@scripts/latency.sh $(BUILD) $(SECONDS)

# Measures processor share, memory and control bytes of a running entry and agent.
footprint: build
	@scripts/footprint.sh $(BUILD) 10

generate:
	@scripts/generate.sh

clean:
	rm -rf $(BUILD)
