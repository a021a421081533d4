PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PIP := $(BIN)/pip install --quiet --disable-pip-version-check
# A requirement of aioprometheus that is published only as a source distribution.
PURE_SDIST := quantile-python
INSTALLED := $(VENV)/.installed

.PHONY: demo test test-large lint histories soak bench bench-cost clean

demo: $(INSTALLED)
	$(BIN)/savorydyke-bench demo

# Further options of behave, for reports.
REPORT ?=
test: $(INSTALLED) lint
	$(BIN)/behave --no-capture $(REPORT) --format progress --tags "not @large" features

test-large: $(INSTALLED)
	$(BIN)/behave --no-capture --format progress --tags @large features

lint: $(INSTALLED)
	$(BIN)/ruff check src features
	$(BIN)/ruff format --check src features
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
