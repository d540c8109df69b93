SHELL := /bin/bash
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := src:.

.PHONY: setup demo test lint format bench clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e . || $(BIN)/pip install -q --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m standins.demo

test: setup
	$(BIN)/python -m tools.run_tests

lint: setup
	$(BIN)/black --check -q .
	$(BIN)/ruff check -q .
	$(BIN)/mypy src standins tools bench soak
	$(BIN)/lint-imports --no-logo 2>&1 | grep -E "KEPT|BROKEN|kept|rror|not allowed|->"; test $${PIPESTATUS[0]} -eq 0

format: setup
	$(BIN)/black -q .
	$(BIN)/ruff check -q --fix .
	$(BIN)/black -q .

bench: setup
	$(BIN)/python -m bench.run_all
	$(BIN)/python -m tools.write_capacity
