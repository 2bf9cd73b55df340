PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 7
MINUTES ?= 2
COUNT ?= 10

.PHONY: demo test lint format idl examples pages soak fault-soak bench slopes clean

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python examples/demo.py

test: $(VENV)/.installed
	$(BIN)/python -m tests.run

lint: $(VENV)/.installed
	$(BIN)/ruff check src tests examples tools deploy
	$(BIN)/ruff format --check src tests examples tools deploy
	$(BIN)/flake8 src tests examples tools deploy
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/ruff check --fix src tests examples tools
	$(BIN)/ruff format src tests examples tools

# Needs the thrift-compiler package of Debian; the generated code is committed.
idl:
	rm -rf build/idl && mkdir -p build/idl
	thrift --gen py -out build/idl idl/hemlockkeel.thrift
	rm -rf src/hemlockkeel/_internal/rpc/gen/hk
	cp -r build/idl/hemlockkeel/_internal/rpc/gen/hk \
	    src/hemlockkeel/_internal/rpc/gen/
	rm -f src/hemlockkeel/_internal/rpc/gen/hk/*-remote

examples: $(VENV)/.installed
	$(BIN)/python examples/generate.py

pages: $(VENV)/.installed
	$(BIN)/python -m tools.make_pages

soak: $(VENV)/.installed
	$(BIN)/python -m hemlockkeel_bench.soak --seed $(SEED) \
	    --minutes $(MINUTES)

# Runs the programs of the platform while processes and links fail.
fault-soak: $(VENV)/.installed
	$(BIN)/python -m tests.soak --again
	$(BIN)/python -m tests.soak --seed $(SEED) --count $(COUNT)
	$(BIN)/python -m tests.soak.configuration --again
	$(BIN)/python -m tests.soak.configuration --seed $(SEED) \
	    --count $(COUNT)

bench: $(VENV)/.installed
	$(BIN)/python -m hemlockkeel_bench --profile bushline --compare
	$(BIN)/python -m hemlockkeel_bench --profile summons --compare

slopes: $(VENV)/.installed
	$(BIN)/python -m hemlockkeel_bench.slopes

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache .hypothesis
