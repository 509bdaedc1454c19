# Every target sets up its own environment; `make demo` and `make test` work on a fresh machine.
PYTHON ?= python3.11
VENV := .venv
PY := $(VENV)/bin/python
# The stamp carries the checksum of the lock file, so that a changed lock file is installed anew.
STAMP := $(VENV)/.installed-$(shell sha256sum requirements.lock 2>/dev/null | cut -c1-16)

.PHONY: setup test soak format check unit features demo build bench lock clean fuzz docs recovery capacity

setup: $(STAMP)

$(STAMP):
	test -x $(PY) || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

format: setup
	$(PY) -m ruff check --fix --quiet kumquatlift tests tools features
	$(PY) -m black --quiet kumquatlift tests tools features

check: setup
	$(PY) -m black --check --quiet kumquatlift tests tools features
	$(PY) -m ruff check kumquatlift tests tools features
	$(PY) -m mypy

unit: setup
	$(PY) -m pytest

features: setup
	$(PY) -m behave --format plain --no-timings

# pytest runs last, so that its closing line is the verdict of the run.
test: check features unit

# 200,000 steps take about half a minute; SEED=2 runs another schedule.
SEED ?= 1
SEEDS ?= 1
SECONDS ?= 20
soak: setup
	$(PY) -m tools.soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

fuzz: setup
	$(PY) -m tools.fuzz_register --steps 200000 --seed $(SEED)
	$(PY) -m tools.fuzz_store --steps 200000 --seed $(SEED)
	$(PY) -m tools.fuzz_leases --steps 200000 --seed $(SEED)
	$(PY) -m tools.fuzz_departures --steps 200000 --seed $(SEED)

docs: setup
	$(PY) -m tools.configuration_page > docs/configuration.md

demo: setup
	$(PY) -m tools.demo

# Writes build/capacity/capacity.json and capacity.png; see docs/CAPACITY.md.
capacity: setup
	$(PY) -m tools.measure_capacity

bench: setup
	$(PY) -m kumquatlift.bench.comparison

# Two repetitions of seven faults take about four and a half minutes.
recovery: setup
	$(PY) -m tools.measure_recovery

# The wheel is named by its path, so that no index can offer another package of that name.
build: setup
	rm -rf build/lib build/bdist.* build/wheel build/kumquatlift
	$(PY) -m pip wheel --quiet --disable-pip-version-check --no-deps --wheel-dir build/wheel .
	$(PY) -m shiv --compressed --output-file build/kumquatlift --python "/usr/bin/env python3.11" \
	  --entry-point kumquatlift.cli:main --quiet --disable-pip-version-check \
	  --constraint requirements.lock build/wheel/*.whl
	for doc in examples/*/document.toml; do build/kumquatlift check $$doc || exit 1; done
	$(PY) -m tools.check_build

lock: setup
	$(PY) -m pip install --quiet --disable-pip-version-check uv
	$(PY) -m uv pip compile --quiet --no-header --no-annotate --no-emit-index-url --extra dev pyproject.toml -o requirements.lock

clean:
	rm -rf build
