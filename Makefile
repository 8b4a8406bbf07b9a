# The two commands of the README are "make test" and "make demo".
VENV := .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
# The lock file is complete, so nothing is resolved: its packages are installed side by side, and all
# cores compile them in one go afterwards.
PIP_FLAGS := --quiet --disable-pip-version-check --no-deps --no-compile
export UV_USE_IO_URING := 0

$(VENV)/installed: pyproject.toml devtools/pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	xargs -P 6 -n 11 $(BIN)/pip install $(PIP_FLAGS) < requirements.lock
	$(BIN)/pip install $(PIP_FLAGS) --no-build-isolation -e . -e devtools
	$(BIN)/python -m compileall -q -j 0 $(VENV)/lib
	touch $@

.PHONY: setup test prove demo lint format matrix fuzz soak capacity
setup: $(VENV)/installed

test: setup
	$(BIN)/python -m tests.shards

demo: setup
	$(BIN)/python -m bamboo_standins.demo

# The long search of the at-most-once protocol; PROVE_MINUTES and PROVE_SEED may be set.
PROVE_MINUTES ?= 6
PROVE_SEED ?= 1
prove: setup
	$(BIN)/python -m bamboo_bench.once.check_model --minutes $(PROVE_MINUTES) --seed $(PROVE_SEED)

lint: setup
	$(BIN)/pip check --disable-pip-version-check
	$(BIN)/black --check --quiet bamboojunction devtools tests || $(BIN)/black --check bamboojunction devtools tests
	$(BIN)/ruff check bamboojunction devtools tests
	$(BIN)/lint-imports

format: setup
	$(BIN)/black bamboojunction devtools tests
	$(BIN)/ruff check --fix bamboojunction devtools tests

matrix: setup
	$(BIN)/python -m tests.matrix.render

fuzz: setup
	BAMBOO_FUZZ=long $(BIN)/python -m nose2 --config nose2.cfg tests.fuzz

soak: setup
	$(BIN)/bamboo-bench soak --seconds 30 --seeds 5

capacity: setup
	$(BIN)/bamboo-bench capacity --write
