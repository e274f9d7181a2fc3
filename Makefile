# make demo    runs the demonstration on loopback
# make test    runs every test
# make lint    runs the formatter, the linter and the type checker
# make bench   prints one JSON line per measure
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core daemon cli testing
EDITABLE := $(foreach p,$(PACKAGES),-e packages/eelgrassdrum-$(p))
DEMO_ARGS ?=
BENCH_ARGS ?=
SOAK_ARGS ?=

.PHONY: soak demo test lint format bench capacity fault-matrix pins clean

$(VENV)/.ready: requirements/constraints.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements/constraints.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m eelgrassdrum_testing.demo $(DEMO_ARGS)

test: $(VENV)/.ready
	$(BIN)/python -m eelgrassdrum_testing.run_tests

lint: $(VENV)/.ready
	$(BIN)/black --check --quiet packages platform || $(BIN)/black --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/mypy

format: $(VENV)/.ready
	$(BIN)/black packages platform
	$(BIN)/ruff check --fix packages platform

bench: $(VENV)/.ready
	$(BIN)/python -m eelgrassdrum_testing.bench $(BENCH_ARGS)

capacity: $(VENV)/.ready
	$(BIN)/python -m eelgrassdrum_testing.capacity

# Runs the real programs under planned work and faults. By hand, with a large fleet in each tenth
# soak: SOAK_ARGS="--count 50 --seed 100 --large-every 10 --large 60 --logs DIR".
soak: $(VENV)/.ready
	PYTHONPATH=platform $(BIN)/python -m eelgrassdrum_soak $(SOAK_ARGS)

fault-matrix: $(VENV)/.ready
	$(BIN)/python -m eelgrassdrum_testing.fault_matrix --write docs/fault-matrix.md

# Recomputes the pinned versions. Needs pip-tools on the path.
pins:
	pip-compile --quiet --strip-extras --allow-unsafe --generate-hashes --no-emit-index-url \
		--no-emit-find-links --no-emit-trusted-host --output-file requirements/constraints.txt requirements/dev.in

clean:
	rm -rf $(VENV)
