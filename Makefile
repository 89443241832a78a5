PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install format lint test demo benchmarks fuzz clean

install: $(STAMP)

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps -e .
	touch $(STAMP)

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m tools.run_tests

demo: install
	$(BIN)/python -m tools.demo

BENCHMARKS := starts digests configuration failures outages owners urgent requests wakeups profiles

benchmarks: install
	$(BIN)/python -m benchmarks.daemons
	$(BIN)/python -m benchmarks.daemons --tasks 12 --endpoints 7
	for name in $(BENCHMARKS); do $(BIN)/python -m benchmarks.$$name || exit 1; done

clean:
	rm -rf $(VENV) .ruff_cache .hypothesis
