PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
BINARY ?= dist/springrock
STAGE ?= build/stage
QUIET := --quiet --disable-pip-version-check

SOAK_MINUTES ?= 10

.PHONY: demo test slopes hop faults soak lint binary clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install $(QUIET) --require-hashes -r requirements.lock
	$(BIN)/pip install $(QUIET) --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/springrock demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest -n 4 --dist loadscope

slopes: $(VENV)/.installed
	$(BIN)/python -m bench.slopes

hop: $(VENV)/.installed
	$(BIN)/python -m bench.hop

faults: $(VENV)/.installed
	$(BIN)/python -m pytest tests/faults -n 4 --dist loadscope -v

# Fresh seeds one after the other; what a seed that failed leaves is printed with its command.
soak: $(VENV)/.installed
	$(BIN)/python -m bench.soak --minutes $(SOAK_MINUTES)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# Everything is unpacked by the one process itself at its first start; nothing is started.
binary: $(VENV)/.installed
	rm -rf $(STAGE)
	mkdir -p $(STAGE) $(dir $(BINARY))
	$(BIN)/pip install $(QUIET) --require-hashes -r requirements-run.lock --target $(STAGE)
	cp -r springrock $(STAGE)/springrock
	$(BIN)/shiv --site-packages $(STAGE) --entry-point springrock.__main__:main --compressed \
	    --python "/usr/bin/env python3.11" --output-file $(BINARY)

clean:
	rm -rf $(VENV) build dist
