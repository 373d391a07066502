PYTHON ?= python3
BIN := .venv/bin
TEST_PROCESSES ?= 6

.PHONY: demo test setup format binary check-process

setup: .venv/ready

.venv/ready: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch .venv/ready

# Runs the main job on embedded stand-ins and checks the invariants.
demo: setup
	$(BIN)/persimmondock demo

# Formatter check, linter, types, then the tests, side by side.
test: setup
	$(BIN)/black --quiet --check persimmondock benchmarks packaging
	$(BIN)/ruff check --quiet persimmondock benchmarks packaging
	$(BIN)/mypy
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadgroup

# One file for a VM without Python: dist/persimmondock.
binary: setup
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[binary]'
	$(BIN)/python packaging/build.py

# One daemon is one process, without io_uring and shared memory.
check-process: setup
	$(BIN)/python -m persimmondock.tests.process_check

format: setup
	$(BIN)/black --quiet persimmondock benchmarks packaging
	$(BIN)/ruff check --fix persimmondock benchmarks packaging
