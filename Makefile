PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install format lint test demo fuzz clean

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

clean:
	rm -rf $(VENV) .ruff_cache .hypothesis
