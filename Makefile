PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: demo test lint types unit binary faults soak load clean

demo: $(STAMP)
	$(BIN)/wisteriastair demo

test: lint types unit

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports

types: $(STAMP)
	$(BIN)/mypy

# Crowds measure the memory of processes and run one at a time.
unit: $(STAMP)
	$(BIN)/pytest --numprocesses auto --maxprocesses 4 --dist worksteal \
	    --ignore tests/crowds
	$(BIN)/pytest tests/crowds

clean:
	rm -rf build dist out .mypy_cache .ruff_cache .pytest_cache

SEED ?= 1
N ?= 60
# More for a soak: --stops, --crashes, --late-crashes, --unproved-crashes, --relays 20
SOAK ?=


faults: $(STAMP)
	$(BIN)/wisteriastair faults --seed $(SEED) --programs $(N)

soak: $(STAMP)
	$(BIN)/python -m tests.soak.run --seed $(SEED) --count $(N) $(SOAK)

load: $(STAMP)
	$(BIN)/wisteriastair load

binary: $(STAMP)
	$(BIN)/pyinstaller --onefile --name wisteriastair --distpath dist \
	    --workpath build --specpath build --log-level ERROR --paths . \
	    --collect-all pockets --collect-all sphinxcontrib.napoleon \
	    --collect-data wisteriastair --copy-metadata opentelemetry-api \
	    --copy-metadata opentelemetry-sdk tools/binary.py
