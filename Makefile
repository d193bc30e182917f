PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install demo test lint unit scenarios soak soak-short bench bench-capacity

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
	PYTHONPATH=. $(BIN)/python -m tests.known_red --unit

scenarios: install
	PYTHONPATH=. $(BIN)/python -m tests.known_red

# Fresh seeds for some minutes; the short run plays fixed seeds.
soak: install
	$(BIN)/python -m tests.soak --seeds 15

soak-short: install
	$(BIN)/python -m tests.soak --seed 409390
	$(BIN)/python -m tests.soak --seed 943975

test: lint unit scenarios soak-short

bench: install
	$(BIN)/python -m bench.policies

bench-capacity: install
	$(BIN)/python -m bench.capacity
