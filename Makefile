VENV ?= .venv
SEEDS ?= 0-99
PY = $(VENV)/bin/python
export PYTHONPATH := src:tools
export PYTHONHASHSEED := 0
STAMP = $(VENV)/.installed

.PHONY: days known-red experiment measure slopes soak install mutations run bench test check format lint types unit features

install: $(STAMP)

$(STAMP): requirements.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.lock
	touch $(STAMP)

run: install
	$(PY) -m standins.demo

# BENCH is the path of the users' bench, SITE that of a site file.
days:
	$(BENCH) run $(SITE) $(DAY) --why "$(WHY)"

bench: install
	$(PY) -m standins.bench

test: known-red install lint types unit features mutations

# Faults that are known and not mended yet; no test of CI is passed over.
known-red:
	@cat KNOWN-RED.txt

check: test

format: install
	$(VENV)/bin/ruff format -q src tools tests features
	$(VENV)/bin/ruff check -q --fix src tools tests features
	$(VENV)/bin/ruff format -q src tools tests features

lint: install
	$(VENV)/bin/ruff format -q --check src tools tests features
	$(VENV)/bin/ruff check -q src tools tests features
	$(VENV)/bin/flake8 src tools

types: install
	$(VENV)/bin/mypy

unit: install
	$(PY) -m pytest -m "not mutations"

slopes: install
	$(PY) -m slopes --plot docs/plots/slopes.png

measure: install
	$(PY) -m measure --plots docs/plots

golden: install
	GOLDEN=regenerate $(PY) -m pytest tests/test_golden_session.py

soak: install
	SEEDS=$(SEEDS) $(PY) -m pytest -s tests/test_once_everywhere.py \
		tests/test_control_run.py::test_run tests/test_server_runs.py \
		tests/test_crash_runs.py tests/test_version_runs.py \
		tests/test_paired_faults.py

mutations: install
	$(PY) -m pytest -m mutations tests/test_mutations.py

features: install
	$(VENV)/bin/behave --format progress --no-capture features

experiment: install
	$(PY) -m experiment --plot docs/plots/experiment.svg
