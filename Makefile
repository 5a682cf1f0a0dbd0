PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
SECONDS ?= 240
SOAK_SECONDS ?= 30

.PHONY: install run smoke test format lint types check prove soak bench-requests bench-policy bench-leader bench-placement slopes pages

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

run: install
	$(BIN)/python -m bench.cluster

smoke: install
	$(BIN)/python -m bench.smoke

test: install
	$(BIN)/python -W "error:coroutine:RuntimeWarning" -m bench.run_tests

format: install
	$(BIN)/ruff format --check src bench tests

lint: install
	$(BIN)/ruff check src bench tests

types: install
	$(BIN)/mypy

check: format lint types test

prove: install
	$(BIN)/python -m bench.prove --seed $(SEED) --seconds $(SECONDS)

bench-requests: install
	$(BIN)/python -m bench.requests --seed $(SEED)

bench-policy: install
	$(BIN)/python -m bench.policy --seed $(SEED)

bench-leader: install
	$(BIN)/python -m bench.leader --seed $(SEED)

bench-placement: install
	$(BIN)/python -m bench.placement --seed $(SEED)

slopes: install
	$(BIN)/python -m bench.slopes

pages: install
	$(BIN)/python -m bench.try_pages

soak: install
	$(BIN)/python -m bench.soak --seed $(SEED) --seconds $(SOAK_SECONDS)
