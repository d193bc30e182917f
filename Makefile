PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install demo test lint unit scenarios bench bench-capacity

install: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[test]'
	touch $(STAMP)

demo: install
	$(BIN)/dogwoodshed demo

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

unit: install
	$(BIN)/nose2 --start-dir tests --top-level-directory .

scenarios: install
	PYTHONPATH=. $(BIN)/behave --no-color --format progress tests/features

test: lint unit scenarios

bench: install
	$(BIN)/python -m bench.policies

bench-capacity: install
	$(BIN)/python -m bench.capacity
