# Build, test, lint and run corkdeal. PYTHON is the interpreter that makes the virtual environment.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SOAK_SEEDS = 6 12 22 45
# Seeds that KNOWN-RED.txt lists for this target; .ci/run sets them.
KNOWN_RED_SEEDS =

.PHONY: build dev test soak lint run

# A gateway may find no writable disk at its start, and pip compiles nothing for -O: without this every
# start compiles all of Twisted anew. By default bytecode goes by its source's time, which not every copy of
# a tree keeps; checked-hash goes by what the source holds.
COMPILE = $(BIN)/python -O -m compileall -q --invalidation-mode checked-hash

build: $(VENV)/built
	$(COMPILE) corkdeal

$(VENV)/built: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install --disable-pip-version-check -r requirements.txt
	$(COMPILE) -j 0 -x '/(test|pip|setuptools)/' $(VENV)/lib
	touch $@

dev: $(VENV)/dev

$(VENV)/dev: $(VENV)/built requirements-dev.txt
	$(BIN)/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: dev
	$(BIN)/python -m pytest -n 6 --dist loadscope

# A few short runs with fixed seeds, one at a time (docs/soak.md).
soak: build
	for seeds in $(filter-out $(KNOWN_RED_SEEDS),$(SOAK_SEEDS)); do $(BIN)/python -m corkdeal experiment soak --seeds $$seeds --duration 12 || exit 1; done

lint: dev
	$(BIN)/ruff format --check corkdeal tests examples benchmarks
	$(BIN)/ruff check corkdeal tests examples benchmarks
	$(BIN)/mypy

run: build
	exec env RELAY_CONFIG=examples/config.json $(BIN)/python -O -m corkdeal.net
