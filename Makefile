PYTHON := .venv/bin/python
READY := .venv/.ready
LIBS := platform/ $(sort $(dir $(wildcard libs/*/pyproject.toml)))

.PHONY: setup demo test lint format fuzz soak prove-oracle bench overhead slopes docs clean

setup: $(READY)

$(READY): requirements.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(PYTHON) || python3.11 -m venv .venv
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation $(addprefix -e ./,$(LIBS))
	touch $(READY)

demo: setup
	$(PYTHON) -m berylwalk.localfleet.demo

lint: setup
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .

format: setup
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

# The tests mostly wait. Those of a file stay together and in order, so that the verdict
# does not depend on which process runs them.
TEST_PROCESSES := 4

test: setup lint
	$(PYTHON) -P -m pytest -n $(TEST_PROCESSES) --dist loadfile

fuzz: setup
	BERYLWALK_FUZZ=long $(PYTHON) -P -m pytest tests/fuzz

soak: setup
	BERYLWALK_SOAK=$(shell seq -s, 1 40) $(PYTHON) -P -m pytest libs/direct/tests/test_direct_soak.py

prove-oracle: setup
	$(PYTHON) tests/fuzz/prove_oracle.py

bench: setup
	$(PYTHON) bench/run.py

overhead: setup
	$(PYTHON) bench/overhead.py

slopes: setup
	$(PYTHON) bench/slopes.py

docs: setup
	$(PYTHON) -m berylwalk.cli settings-reference > docs/operators/settings.md

clean:
	rm -rf .venv .pytest_cache .ruff_cache .hypothesis
