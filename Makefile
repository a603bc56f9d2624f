VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: setup demo test check check-model bench bench-policy bench-capacity binary soak

$(VENV)/.ready: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(PY) -m bench.demo

check: setup
	$(PY) -m black --check --quiet rattangate tests bench
	$(PY) -m ruff check rattangate tests bench
	$(PY) -m mypy

test: check
	$(PY) -m pytest
