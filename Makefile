# Every target builds the environment first, so that each works on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core transport node cli standins
# Each worker runs whole systems of up to 20 processes.
TEST_WORKERS ?= 2
PIP := $(BIN)/python -m pip install --quiet --disable-pip-version-check

# Seeds that `make soak` plays, and the first of them; 0 takes fresh ones.
SEEDS ?= 10
FIRST ?= 0

.PHONY: env demo test bench soak lint format report capacity clean

env: $(VENV)/installed

$(VENV)/installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(PIP) -r requirements.txt
	$(PIP) --no-deps --no-build-isolation \
	    $(foreach p,$(PACKAGES),-e packages/sapphirerail-$(p))
	touch $@

demo: env
	@$(BIN)/python -m sapphirerail_standins.demo
	@$(BIN)/python -m sapphirerail_standins.platform_demo

test: env
	$(BIN)/python -m pytest -n $(TEST_WORKERS)

bench: env
	@$(BIN)/python -m bench

soak: env
	@$(BIN)/python -m sapphirerail_standins.soak --seeds $(SEEDS) --first $(FIRST)

report: env
	$(BIN)/python -m bench.report

capacity: env
	$(BIN)/python -m bench.capacity

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build
