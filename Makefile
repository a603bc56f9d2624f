VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: setup fix demo test check check-model bench bench-policy bench-capacity bench-control binary soak platform-soak

$(VENV)/.ready: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(PY) -m bench.demo

fix: setup
	$(PY) -m ruff check --fix rattangate tests bench tools
	$(PY) -m black --quiet rattangate tests bench tools

check: setup
	$(PY) -m black --check --quiet rattangate tests bench tools
	$(PY) -m ruff check rattangate tests bench tools
	$(PY) -m mypy

# KNOWN-RED.txt lists tests of faults that stand, one `test: NODE` line each; they are printed.
test: check check-model
	@test ! -s KNOWN-RED.txt || cat KNOWN-RED.txt
	$(PY) -m pytest $$(test ! -f KNOWN-RED.txt || sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)

check-model: setup
	specs/check.sh

bench-policy: setup
	$(PY) -m bench.policy_lookup
	$(PY) -m bench.policy

binary: setup
	$(PY) -m tools.build_binary

bench-capacity: setup
	$(PY) -m bench.capacity

SEED ?= 1
SECONDS ?= 60

soak: setup
	$(PY) -m bench.soak --seed $(SEED) --seconds $(SECONDS)

platform-soak: setup
	$(PY) -m bench.platform_soak --seed $(SEED) --seconds $(SECONDS)

bench: setup
	$(PY) -m bench.table

bench-control: setup
	$(PY) -m bench.control_cost
