PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install format lint test demo proofs fuzz soak benchmarks experiment clean

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

proofs: install
	$(BIN)/python -m tools.proofs

# Extra seeds for the scenarios and the mixtures of faults, and more, random histories. CI runs the
# seeds in the files and derandomised histories.
SEEDS ?= 20
EXAMPLES ?= 1000

fuzz: install
	CROCUSRUDDER_SEEDS=$(SEEDS) $(BIN)/python -m unittest tests.scenarios.test_scenarios \
		tests.membership.test_ownership
	CROCUSRUDDER_EXAMPLES=$(EXAMPLES) $(BIN)/python -m unittest tests.jobs.test_histories \
		tests.records.test_histories tests.requests.test_interleavings

# Fresh seeds; CI plays one short run.
SOAK_SEEDS ?= 5

soak: install
	$(BIN)/python -m tools.soak --seeds $(SOAK_SEEDS)

experiment: install
	$(BIN)/python -m tools.experiment --load arriola --scale today --seeds 3
	$(BIN)/python -m tools.experiment --load servicio --scale today --seeds 3

BENCHMARKS := recovery starts digests configuration failures outages owners urgent requests wakeups profiles locality

benchmarks: install
	$(BIN)/python -m benchmarks.daemons
	$(BIN)/python -m benchmarks.daemons --tasks 12 --endpoints 7
	for name in $(BENCHMARKS); do $(BIN)/python -m benchmarks.$$name || exit 1; done

clean:
	rm -rf $(VENV) .ruff_cache .hypothesis
