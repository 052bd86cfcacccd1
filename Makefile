VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard packages/*/pyproject.toml) platform/adapter/pyproject.toml

.PHONY: demo test lint format model faults soak bench capacity meeting pauses origins leaning silence
.NOTPARALLEL:

$(STAMP): requirements.txt $(PACKAGES)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt setuptools wheel
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach package,$(PACKAGES),-e $(dir $(package)))
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.demo

test: lint model
	$(PYTHON) -m bergamotsaddle_standins.suite $(ARGS)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

model: $(STAMP)
	$(PYTHON) -m model

faults: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.faults $(ARGS)

soak: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.soak $(ARGS)

bench: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.bench $(ARGS)

capacity: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.capacity $(ARGS)

meeting: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.meeting $(ARGS)

pauses: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.pauses $(ARGS)

origins: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.origin_cost $(ARGS)

leaning: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.leaning $(ARGS)

silence: $(STAMP)
	$(PYTHON) -m bergamotsaddle_standins.silence $(ARGS)
