# Targets work from a bare clone; VENV may point at a ready environment.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
export PYTHONPATH = src:.
export PYTHONHASHSEED = 0

.PHONY: test demo soak mutants ablation slopes measure work format clean

$(VENV)/.ready: requirements.txt requirements-dev.txt
	python3.11 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: $(VENV)/.ready
	$(PYTHON) -m tools.verdict

format: $(VENV)/.ready
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Hours of random runs: make soak SOAK_SECONDS=7200; a seed repeats one.
SOAK_SECONDS ?= 3600

soak: $(VENV)/.ready
	$(PYTHON) -m tools.soak --seconds $(SOAK_SECONDS) $(if $(SEED),--seed $(SEED))

mutants: $(VENV)/.ready
	$(PYTHON) -m tools.mutants

ablation: $(VENV)/.ready
	$(PYTHON) -m tools.ablation

clean:
	rm -rf build .ruff_cache .hypothesis

demo: $(VENV)/.ready
	$(PYTHON) -m tools.demo_dispatch
	$(PYTHON) -m tools.demo

slopes: $(VENV)/.ready
	$(PYTHON) -m tools.slopes

measure: $(VENV)/.ready
	$(PYTHON) -m tools.latency

# Rewrites the figures that dispatch_work.feature compares with.
work: $(VENV)/.ready
	$(PYTHON) -m tools.work
