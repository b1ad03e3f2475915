# Targets for developers and CI. Each target installs the packages that it needs.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: setup build test test-asan test-tsan test-gateway-asan fuzz demo lint format check-format bench curve slopes soak soak-processes mutants clean

setup:
	@misc/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release > $(BUILD)-configure.log 2>&1 || (cat $(BUILD)-configure.log; exit 1)
	@mkdir -p $(BUILD) && mv $(BUILD)-configure.log $(BUILD)/configure.log
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

# Builds and runs the whole test suite with sanitizers; -O1 keeps their stacks readable.
test-asan: SANITIZE = address,undefined
test-tsan: SANITIZE = thread
test-asan test-tsan: test-%: setup
	@cmake -S . -B build-$* -G Ninja -DCMAKE_CXX_FLAGS_RELEASE=-O1 -DSHALLOT_SANITIZE=$(SANITIZE) > /dev/null
	@cmake --build build-$* -j $(JOBS) --target shallot_tests
	@ctest --test-dir build-$* --output-on-failure -j $(JOBS)

# Builds and runs the gateway's tests with the address sanitizer.
test-gateway-asan: setup
	@cmake -S . -B build-gateway-asan -G Ninja -DCMAKE_CXX_FLAGS_RELEASE=-O1 -DSHALLOT_SANITIZE=address > /dev/null
	@cmake --build build-gateway-asan -j $(JOBS) --target gateway_tests
	@build-gateway-asan/gateway_tests --no-skip

# Runs each fuzz target for DURATION_S seconds.
fuzz: setup
	@misc/fuzz.sh $(DURATION_S)

demo: build
	@python3 misc/demo.py --build $(BUILD) $(if $(KEEP),--keep)

check-format: setup
	@misc/check_format.sh

format: setup
	@misc/check_format.sh --fix

lint: build
	@misc/lint.sh $(BUILD)

bench: build
	@misc/bench.sh $(BUILD)

# Random faults with new seeds from SEED on; stops at the first seed that violates an invariant.
DURATION_S ?= 60
SEED ?= 1
soak: build
	@SHALLOT_SOAK_S=$(DURATION_S) SHALLOT_SOAK_SEED=$(SEED) $(BUILD)/shallot_tests \
		--source-file='*/tests/fault_random_test.cc' --test-case=soak

# Random faults on gateway processes with SEEDS new seeds from SEED on, FAULT_S seconds each, beside
# INCIDENT: none, deadly-calls, deadly-requests, config-behind, limited-runners, restored-store,
# unwilling-runners, real-network or runner-processes.
SEEDS ?= 10
INCIDENT ?= none
FAULT_S ?= 15
soak-processes: build
	@$(BUILD)/process_soak --gateway $(BUILD)/shallot_gateway --runner $(BUILD)/soak_runner --seed $(SEED) --seeds $(SEEDS) \
		--fault-s $(FAULT_S) --incident $(INCIDENT) --folder $(BUILD)/soak

# Trade-off between cold-start waits and idle accelerator hours for a range of cold weights, as CSV
# and PNG.
curve: build
	@$(BUILD)/cold_start_bench $(BUILD)/cold_start.csv
	@gnuplot -e "csv='$(BUILD)/cold_start.csv'; png='$(BUILD)/cold_start.png'" misc/cold_start.gp

slopes: build
	@$(BUILD)/slopes_bench
	@$(BUILD)/control_bench

# Builds the library with selectable defects and checks that a named test detects each.
mutants: setup
	@misc/mutants.sh $(BUILD)-mutants $(JOBS)

clean:
	rm -rf build build-*
