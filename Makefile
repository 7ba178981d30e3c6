# Each target sets up its own virtual environment, so that a fresh machine needs only python3 and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint format demo bench bench-relays slopes soak clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -e '.[dev]' 2>&1 | grep -v 'is ignored' || true
	$(BIN)/python -c 'import circuits, capnp, h11, hypothesis, black'
	touch $(STAMP)

setup: $(STAMP)

test: $(STAMP)
	$(BIN)/python -m tools.run_tests

lint: $(STAMP)
	$(BIN)/black --check --quiet rhubarbhinge platform deploy standins tools
	$(BIN)/ruff check rhubarbhinge platform deploy standins tools

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet rhubarbhinge platform deploy standins tools
	$(BIN)/black --quiet rhubarbhinge platform deploy standins tools

demo: $(STAMP)
	$(BIN)/python -m tools.demo

# The plot's library is installed for the bench alone; without it the bench runs and says so.
$(VENV)/.plot: $(STAMP)
	$(BIN)/pip install --quiet -e '.[plot]' 2>&1 | grep -v 'is ignored' || true
	touch $(VENV)/.plot

bench: $(VENV)/.plot
	$(BIN)/python -m tools.load

bench-relays: $(VENV)/.plot
	$(BIN)/python -m tools.bench

SEED ?= 1
MINUTES ?= 10
soak: $(STAMP)
	$(BIN)/python -m tools.soak --seed=$(SEED) --minutes=$(MINUTES)

slopes: $(STAMP)
	$(BIN)/python -m tools.slopes

clean:
	rm -rf $(VENV) build *.egg-info out
