SITE ?= caledon
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup run demo test bench slopes format soak

setup: $(VENV)/installed

$(VENV)/installed: requirements-dev.txt constraints.txt pyproject.toml
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt 1>&2
	@$(BIN)/pip install -q --no-deps --no-build-isolation -e . 1>&2
	@touch $@

run: setup
	@exec $(BIN)/python -m examples.site --site=$(SITE)

demo: setup
	@$(BIN)/python -m examples.demo --site=$(SITE)

format: setup
	@$(BIN)/ruff format -q .
	@$(BIN)/ruff check -q --fix . || true

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 verbenapost standins examples bench
	$(BIN)/mypy
	$(BIN)/python -m pytest

bench: setup
	$(BIN)/python -m bench.relay

soak: setup
	@$(BIN)/python -m examples.histories.soak --site=$(SITE) \
		$(if $(SEED),--seed=$(SEED)) --minutes=$(or $(MINUTES),1)
	@$(BIN)/python -m examples.histories.fleetsoak \
		$(if $(SEED),--seed=$(SEED)) --minutes=$(or $(MINUTES),1)

slopes: setup
	$(BIN)/python -m bench.slopes
