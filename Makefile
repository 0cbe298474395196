# Short names for the common tasks; meson does the work.
BUILD ?= build
HOLD ?= 0
SCHEDULES ?= 10000
SEEDS ?= 50

.PHONY: all deps build test demo demo-jobs model soak bench format check-format lint clean

all: build

deps:
	sh scripts/install_deps.sh

$(BUILD)/build.ninja:
	meson setup $(BUILD)

build: $(BUILD)/build.ninja
	meson compile -C $(BUILD)

test: deps build
	sh scripts/run_tests.sh $(BUILD)

demo: deps build
	HOLD=$(HOLD) sh scripts/demo.sh $(BUILD)

demo-jobs: deps build
	sh scripts/demo_jobs.sh $(BUILD)

model: build
	$(BUILD)/tests/jobs/jobs_model_test $(SCHEDULES)

soak: build
	sh scripts/soak.sh $(BUILD) $(SEEDS)

bench: deps build
	sh scripts/bench.sh $(BUILD)

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

check-format:
	git ls-files '*.c' '*.h' | xargs clang-format --dry-run -Werror

lint: $(BUILD)/build.ninja
	sh scripts/lint.sh $(BUILD)

clean:
	rm -rf $(BUILD)
