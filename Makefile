VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup run test lint format types reference bench bench-prefixes days slopes soak lock proto clean

setup: $(STAMP)

$(STAMP): requirements.lock packages/dandelionpond/pyproject.toml \
		packages/dandelionpond-ctl/pyproject.toml packages/standins/pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		--require-hashes -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e packages/dandelionpond \
		-e packages/dandelionpond-ctl -e packages/standins
	touch $(STAMP)

run: setup
	$(PYTHON) -m dandelionpond_standins.demo

test: setup
	$(PYTHON) -m pytest

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: setup
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

types: setup
	$(PYTHON) -m mypy

# Writes docs/reference.md from the code. test_reference.py fails if the page is out of
# date.
reference: setup
	$(PYTHON) -m dandelionpond_standins.reference

bench: setup
	$(PYTHON) -m dandelionpond_standins.bench

# Compares runs with and without the preference for engines that hold a prompt's prefix.
bench-prefixes: setup
	$(PYTHON) -m dandelionpond_standins.bench.prefixes

# Replays the prompts of days with high load against a model of the engines in simulated
# time.
days: setup
	$(PYTHON) -m dandelionpond_standins.load_replay

slopes: setup
	$(PYTHON) -m dandelionpond_standins.slopes

SEEDS ?= 1-5
JOBS ?= 2

# Runs nodes under random faults and prints one JSON line for each seed.
soak: setup
	$(PYTHON) tests/soak/soak.py --seeds $(SEEDS) --jobs $(JOBS)

# Needs uv on the PATH. The lock files pin hashes and contain no index URL.
lock:
	uv pip compile --quiet --generate-hashes --no-emit-index-url --no-annotate \
		--no-header --universal --python-version 3.11 requirements.in \
		-o requirements.lock
	uv pip compile --quiet --generate-hashes --no-emit-index-url --no-annotate \
		--no-header --universal --python-version 3.11 -c requirements.lock \
		deploy/requirements.in -o deploy/requirements.lock

proto: setup
	$(PYTHON) -m grpc_tools.protoc -I packages/dandelionpond/src \
		--python_out=packages/dandelionpond/src \
		--grpc_python_out=packages/dandelionpond/src \
		--pyi_out=packages/dandelionpond/src \
		packages/dandelionpond/src/dandelionpond/peer/peer.proto

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache .hypothesis
