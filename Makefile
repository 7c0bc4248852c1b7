# Builds and tests azurerock. BUILD sets the output folder, SANITIZE and EXTRA_CFLAGS add flags.
CC ?= gcc
BUILD ?= build
PACKAGES = libuv libtirpc glib-2.0 jansson libxxhash libh2o openssl
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES))
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES)) -lm
CFLAGS ?= -O2 -g
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
  -Wno-unused-parameter -Wformat=2
ALL_CFLAGS = -std=gnu11 $(CFLAGS) $(WARNINGS) $(SANITIZE) $(EXTRA_CFLAGS) -Iinclude -Isrc -I. -Ibench \
  $(PKG_CFLAGS) -DH2O_USE_LIBUV=1 -D_GNU_SOURCE -MMD -MP

PROGRAMS = azurerock-entry azurerock-agent azurerock-gateway azurerock-sidecar azurerock-ctl azurerock-load \
  azurerock-standin-store azurerock-standin-upstream
MAINS = $(wildcard src/*/main.c src/standin/*_main.c)
LIB_SOURCES = $(filter-out $(MAINS),$(wildcard src/*/*.c platform/*.c)) src/proto/gen/azurerock_xdr.c
LIB_OBJECTS = $(LIB_SOURCES:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libazurerock.a
TEST_SOURCES = $(wildcard tests/test_*.c)
TESTS = $(TEST_SOURCES:tests/%.c=$(BUILD)/tests/%)
# Tests of whole processes: executable scripts, bounded in time, that use the programs in BUILD.
SCRIPT_TESTS = $(wildcard tests/test_*.py tests/test_*.sh)
HELPER_SOURCES = $(filter-out $(TEST_SOURCES) $(wildcard tests/fuzz_*.c),$(wildcard tests/*.c))
HELPER_OBJECTS = $(HELPER_SOURCES:%.c=$(BUILD)/%.o)
BENCH_SOURCES = $(wildcard bench/*.c)
BENCHES = $(BENCH_SOURCES:bench/%.c=$(BUILD)/bench/%)
MODEL_SOURCES = $(wildcard bench/model/*.c bench/emulator/*.c)
MODEL_OBJECTS = $(MODEL_SOURCES:%.c=$(BUILD)/%.o)
EMULATOR_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard bench/emulator/*.c))
FORMATTED = $(filter-out src/proto/gen/%,$(wildcard include/azurerock/*.h src/*/*.[ch] platform/*.[ch] tests/*.[ch] bench/*.[ch] bench/model/*.[ch] bench/emulator/*.[ch]))

main_entry = src/entry/main.c
main_agent = src/agent/main.c
main_gateway = src/gateway/main.c
main_sidecar = src/sidecar/main.c
main_ctl = src/ctl/main.c
main_load = src/load/main.c
main_standin-store = src/standin/store_main.c
main_standin-upstream = src/standin/upstream_main.c
BUILT_PROGRAMS = $(foreach p,$(PROGRAMS),$(if $(wildcard $(main_$(p:azurerock-%=%))),$(BUILD)/$(p)))

.PHONY: all
all: $(BUILT_PROGRAMS) $(BENCHES)

$(LIB): $(LIB_OBJECTS)
	@rm -f $@
	ar rcs $@ $^

# Code from rpcgen triggers these warnings. xdr_bounded.h bounds the memory that it allocates.
$(BUILD)/src/proto/gen/%.o: src/proto/gen/%.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -Wno-unused-variable -Wno-shadow -DAZ_XDR_REPLACE \
	  -include src/proto/xdr_bounded.h -c $< -o $@

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -c $< -o $@

define program_rule
$(BUILD)/azurerock-$(1): $(main_$(1):%.c=$(BUILD)/%.o) $(LIB)
	$$(CC) $$(ALL_CFLAGS) $$^ $$(PKG_LIBS) -o $$@
endef
$(foreach p,$(PROGRAMS),$(eval $(call program_rule,$(p:azurerock-%=%))))

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(MODEL_OBJECTS) $(LIB)
	$(CC) $(ALL_CFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(HELPER_OBJECTS) $(EMULATOR_OBJECTS) $(LIB)
	$(CC) $(ALL_CFLAGS) $^ $(PKG_LIBS) $(shell pkg-config --libs cmocka) -o $@

.PHONY: generate
generate:
	rm -f src/proto/gen/*
	cd src/proto && rpcgen -C -h -o gen/azurerock.h azurerock.x && rpcgen -C -c -o gen/azurerock_xdr.c azurerock.x

.PHONY: unit
unit: all $(TESTS)
	BUILD=$(BUILD) tests/run_tests.sh $(TESTS) $(SCRIPT_TESTS)

.PHONY: check
check: unit smoke

.PHONY: smoke
smoke: all
	python3 tests/smoke.py --build $(BUILD)

.PHONY: bench
bench: all
	python3 bench/run.py --build $(BUILD)

.PHONY: bench-full
bench-full: all
	python3 bench/run.py --build $(BUILD) --full

.PHONY: demo
demo:
	./demo

# SEED=n runs one history, SEEDS=a..b a range; the default is three fixed seeds.
HISTORY_SEEDS = $(or $(SEED),$(if $(SEEDS),$(shell seq $(subst .., ,$(SEEDS))),1 2 3))

.PHONY: histories
histories: all
	BUILD=$(BUILD) tests/run_histories.sh $(HISTORY_SEEDS)

# SEED=n runs one soak, SEEDS=a..b a range; the default is seed 4 (planned operations only), the
# seeds that failed once and a new seed.
SOAK_SEEDS = $(or $(SEED),$(if $(SEEDS),$(shell seq $(subst .., ,$(SEEDS))), \
  4 $(shell sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak_seeds.txt) $(shell date +1%H%M)))

# Kinds of faults of one more run, in which the store refuses some of the processes, or their
# connections to it go silent.
STORE_FAULTS = store_refuses,store_mutes,configuration,withdraw,kill_gateway

.PHONY: soak
soak: all
	BUILD=$(BUILD) tests/run_soak.sh $(SOAK_SEEDS)
	$(if $(SEED)$(SEEDS),,BUILD=$(BUILD) FAULTS=$(STORE_FAULTS) tests/run_soak.sh 371)

.PHONY: model
model:
	model/run.sh

.PHONY: asan
asan:
	$(MAKE) unit BUILD=build-asan CFLAGS="-O1 -g" SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer"

comma := ,
empty :=
# $(call fuzz_seeds,NAME): the seed inputs NAME.json and NAME-*.json of a fuzzer, joined by commas.
fuzz_seeds = $(subst $(empty) $(empty),$(comma),$(wildcard tests/fuzz_seeds/$(1).json tests/fuzz_seeds/$(1)-*.json))

# Fuzzers are built with clang into build-fuzz and run a fixed number of inputs.
FUZZERS = message settings objects platform sessions http
FUZZ_FLAGS = -seed=1 -max_len=4096 -timeout=5 -rss_limit_mb=1024 -print_final_stats=1
fuzz_runs_message = 600000
fuzz_runs_settings = 200000
fuzz_runs_objects = 100000
fuzz_runs_platform = 100000
fuzz_runs_sessions = 15000
fuzz_runs_http = 25000
# Less memory than for the others, so that a limit that does not hold ends the run. The last
# value of a flag counts.
fuzz_flags_http = -rss_limit_mb=512 -max_len=256 -len_control=0

RIG_OBJECTS = $(BUILD)/tests/gateway_rig.o $(BUILD)/tests/sidecar_rig.o

$(BUILD)/tests/fuzz_%: $(BUILD)/tests/fuzz_%.o $(RIG_OBJECTS) $(LIB)
	$(CC) $(ALL_CFLAGS) -fsanitize=fuzzer $^ $(PKG_LIBS) $(shell pkg-config --libs cmocka) -o $@

.PHONY: fuzz-programs
fuzz-programs: $(FUZZERS:%=$(BUILD)/tests/fuzz_%)

.PHONY: fuzz
fuzz:
	$(MAKE) fuzz-programs BUILD=build-fuzz CC=clang-14 CFLAGS="-O1 -g" \
	  SANITIZE="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all"
	$(foreach f,$(FUZZERS),build-fuzz/tests/fuzz_$(f) $(FUZZ_FLAGS) $(fuzz_flags_$(f)) -runs=$(fuzz_runs_$(f)) \
	  $(addprefix -seed_inputs=,$(call fuzz_seeds,$(f))) && ) true

.PHONY: format
format:
	clang-format -i $(FORMATTED)

# Folders whose files depend on each other cyclically (issue 12), which the check leaves out.
CYCLIC = src/agent src/entry src/load src/net src/sidecar src/standin

.PHONY: lint
lint: $(LIB)
	tools/check_platform_names.sh
	tools/check_call_cycles.py $(BUILD) $(filter-out $(CYCLIC) src/proto,$(patsubst %/,%,$(wildcard src/*/)))
	clang-format --dry-run --Werror $(FORMATTED)
	cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr --enable=warning,portability \
	  --suppress=missingInclude --suppress=*:src/proto/gen/* -Iinclude -Isrc -I. src platform
	@printf "%s\n" $(filter-out src/proto/gen/%,$(wildcard src/*/*.c platform/*.c)) | \
	  xargs -P 6 -I{} clang-tidy --quiet {} -- -std=gnu11 -Iinclude -Isrc -I. $(PKG_CFLAGS) -DH2O_USE_LIBUV=1 -D_GNU_SOURCE

.PHONY: clean
clean:
	rm -rf build build-asan build-fuzz

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
