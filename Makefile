PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PIP := $(BIN)/pip install --quiet --disable-pip-version-check
# A requirement of aioprometheus that is published only as a source distribution.
PURE_SDIST := quantile-python
INSTALLED := $(VENV)/.installed

.PHONY: demo test test-quick test-large lint histories soak bench bench-cost clean

demo: $(INSTALLED)
	$(BIN)/savorydyke-bench demo

# Options of .ci/run_features.py, such as --jobs 2 or features/routed.feature:40.
FEATURES ?=
test: $(INSTALLED) lint
	$(BIN)/python .ci/run_features.py $(FEATURES)

# Without the simulations of whole fleets, which take 3 of 4 parts of the time.
QUICK := --tags "not @large and not @fleet" features/decisions.feature features/decoders.feature
test-quick: $(INSTALLED) lint
	$(BIN)/python .ci/run_features.py $(QUICK)

test-large: $(INSTALLED)
	$(BIN)/behave --no-capture --format progress --tags @large features

lint: $(INSTALLED)
	$(BIN)/ruff check src features .ci
	$(BIN)/ruff format --check src features .ci
	$(BIN)/mypy

SEEDS ?= 1 2 3
histories: $(INSTALLED)
	$(BIN)/savorydyke-bench histories $(SEEDS)

soak: $(INSTALLED)
	$(BIN)/savorydyke-bench soak $(SEEDS)

bench: $(INSTALLED)
	$(BIN)/savorydyke-bench policy

bench-cost: $(INSTALLED)
	$(BIN)/savorydyke-bench cost

$(INSTALLED): requirements/build.txt requirements/lock.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PIP) --only-binary :all: --require-hashes -r requirements/build.txt
	$(PIP) --only-binary :all: --no-binary $(PURE_SDIST) --no-build-isolation --require-hashes -r requirements/lock.txt
	$(PIP) --no-deps --no-build-isolation -e .
	touch $(INSTALLED)

clean:
	rm -rf $(VENV) run
