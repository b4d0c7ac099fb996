# Build, test, lint and run corkdeal. PYTHON is the interpreter that makes the virtual environment.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: build dev test lint run

build: $(VENV)/built

$(VENV)/built: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install --disable-pip-version-check -r requirements.txt
	touch $@

dev: $(VENV)/dev

$(VENV)/dev: $(VENV)/built requirements-dev.txt
	$(BIN)/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: dev
	$(BIN)/python -m pytest

lint: dev
	$(BIN)/ruff check corkdeal tests

run: build
	RELAY_CONFIG=examples/config.json $(BIN)/python -O -m corkdeal.net
