PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint measure-latency measure-overload measure-capacity measure-config

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

lint: setup
	$(BIN)/ruff format --check src tests features benchmarks deploy
	$(BIN)/ruff check src tests features benchmarks deploy
	$(BIN)/mypy

test: setup
	$(BIN)/python tests/run_all.py

demo: setup
	$(BIN)/python benchmarks/demo.py

measure-latency: setup
	$(BIN)/python benchmarks/latency.py

measure-overload: setup
	$(BIN)/python benchmarks/overload.py

measure-config: setup
	$(BIN)/python benchmarks/propagation.py

measure-capacity: setup
	$(BIN)/python benchmarks/capacity.py
