VENV := .venv
PY := $(VENV)/bin/python
SEED ?= 1
COUNT ?= 1
SOAK_SECONDS ?= 15
.PHONY: demo test lint format binary check-binary bench fuzz soak lock clean

$(VENV)/.ready: requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check \
	    -r requirements-dev.txt
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps \
	    --no-build-isolation -e .
	touch $@

demo: $(VENV)/.ready
	$(PY) -m bilberryhaven demo

test: $(VENV)/.ready
	$(PY) -m tests

lint: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8

format: $(VENV)/.ready
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

binary: $(VENV)/.ready
	rm -rf build
	mkdir -p dist
	$(VENV)/bin/shiv --quiet -c bilberryhaven -o dist/bilberryhaven \
	    -p '/usr/bin/env python3.11' --root '~/.cache/bilberryhaven' \
	    -r requirements.txt --no-build-isolation .

check-binary: binary
	$(PY) -m unittest tests.check_binary

bench: $(VENV)/.ready
	$(PY) -m bench

fuzz: $(VENV)/.ready
	$(PY) -m tests.fuzz --seed $(SEED)

soak: $(VENV)/.ready
	$(PY) -m soak --seed $(SEED) --seconds $(SOAK_SECONDS) --count $(COUNT)

lock:
	$(VENV)/bin/pip install -q pip-tools
	$(VENV)/bin/pip-compile -q --no-emit-index-url --no-emit-find-links \
	    --strip-extras -o requirements.txt requirements.in
	$(VENV)/bin/pip-compile -q --no-emit-index-url --no-emit-find-links \
	    --strip-extras --allow-unsafe -o requirements-dev.txt \
	    requirements-dev.in

clean:
	rm -rf $(VENV) build dist *.egg-info
