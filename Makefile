# Development commands. CI (.ci/run) uses the same targets.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: test lint types format demo soak bench capacity clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

test: $(STAMP)
	$(PYTHON) -m pytest

lint: $(STAMP)
	$(PYTHON) -m ruff format --check src tests tools deploy
	$(PYTHON) -m ruff check src tests tools deploy

types: $(STAMP)
	$(PYTHON) -m mypy

format: $(STAMP)
	$(PYTHON) -m ruff format src tests tools deploy
	$(PYTHON) -m ruff check --fix src tests tools deploy

demo: $(STAMP)
	PYTHONPATH=src:tools:tests $(PYTHON) -m demo
	PYTHONPATH=src:tools $(PYTHON) -m demo.platform

soak: $(STAMP)
	PYTHONPATH=src:tools $(PYTHON) -m soak --seeds 5
	PYTHONPATH=src:tools $(PYTHON) -m soak --cuts --instances 6 --targets 9 --seeds 5
	PYTHONPATH=src:tools $(PYTHON) -m soak --lapses --instances 6 --targets 9 --seconds 30 --seeds 5
	PYTHONPATH=src:tools $(PYTHON) -m soak --returns --instances 6 --targets 9 --seconds 20 --seeds 5
	PYTHONPATH=src:tools $(PYTHON) -m soak --returns --late --instances 6 --targets 9 --seconds 20 --seeds 5

bench: $(STAMP)
	PYTHONPATH=tools $(PYTHON) -m bench

capacity: $(STAMP)
	PYTHONPATH=src:tools:tests $(PYTHON) -m capacity

clean:
	rm -rf $(VENV) build src/*.egg-info
