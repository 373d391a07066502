PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test setup format

setup: .venv/ready

.venv/ready: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch .venv/ready

# Runs the main job on embedded stand-ins and checks the invariants.
demo: setup
	$(BIN)/persimmondock demo

# Formatter check, linter, types, then the tests.
test: setup
	$(BIN)/black --quiet --check persimmondock benchmarks
	$(BIN)/ruff check --quiet persimmondock benchmarks
	$(BIN)/mypy
	$(BIN)/python -m pytest

format: setup
	$(BIN)/black --quiet persimmondock benchmarks
	$(BIN)/ruff check --fix persimmondock benchmarks
