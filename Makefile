VENV := .venv
PYTHON := $(VENV)/bin/python
DEPLOYMENT ?= plant

SEEDS ?= 50

CORES := $(shell nproc)
WORKERS ?= $(CORES)
# A test of processes keeps several cores busy.
PROCESS_WORKERS ?= $(shell expr \( $(CORES) + 3 \) / 4)

.PHONY: demo test lint bench format soak

$(VENV)/ready: requirements.lock pyproject.toml
	python3.11 -m venv $(VENV)
	$(VENV)/bin/pip --quiet install --requirement requirements.lock
	$(VENV)/bin/pip --quiet install --no-deps --editable .
	touch $@

demo: $(VENV)/ready
	$(PYTHON) -m reedhook_standins.demo --deployment $(DEPLOYMENT)

test: $(VENV)/ready
	$(PYTHON) -m pytest --numprocesses $(WORKERS) -m "not processes"
	$(PYTHON) -m pytest --numprocesses $(PROCESS_WORKERS) -m processes

lint: $(VENV)/ready
	$(VENV)/bin/black --quiet --check src tests bench
	$(VENV)/bin/isort --quiet --check src tests bench
	$(VENV)/bin/flake8 src tests bench
	$(VENV)/bin/mypy

format: $(VENV)/ready
	$(VENV)/bin/isort --quiet src tests bench
	$(VENV)/bin/black --quiet src tests bench

bench: $(VENV)/ready
	$(PYTHON) -m bench.run

soak: $(VENV)/ready
	$(PYTHON) -m reedhook_standins.soak.soak --seeds $(SEEDS)
