# What a developer needs, by name. The platform uses deploy/balancer.toml.
.PHONY: build dev test lint run demo toolcalls agent ci clean bench-fleet bench-sources bench-lab bench-start bench-together bench-schedules bench-capacity bench-guard bench-reclaim bench-waiting-memory soak

build:
	test -d .venv || python3 -m venv .venv
	cmp -s requirements.txt .venv/installed || \
	  (.venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/installed)

dev:
	test -d .venv-dev || python3 -m venv .venv-dev
	cmp -s pyproject.toml .venv-dev/installed || \
	  (.venv-dev/bin/pip -q install -e '.[dev]' && cp pyproject.toml .venv-dev/installed)

test: dev
	.venv-dev/bin/python -m pytest

lint: dev
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/mypy

run: build
	.venv/bin/python -m onyxpass serve

demo: build
	.venv/bin/python -m onyxpass standin demo

bench-fleet: dev
	.venv-dev/bin/python benchmarks/fleet.py

bench-sources: dev
	.venv-dev/bin/python benchmarks/sources.py

bench-lab: dev
	.venv-dev/bin/python benchmarks/lab.py

toolcalls: build
	.venv/bin/python -m onyxpass toolcalls --config deploy/toolcalls.toml

# FIRST, SEEDS, LENGTH: the first seed, how many, and seconds of requests in each
FIRST = 1
SEEDS = 10
LENGTH = 20
soak: dev
	.venv-dev/bin/python -m onyxpass soak --seed $(FIRST) --seeds $(SEEDS) --length $(LENGTH)

agent: build
	test -f deploy/fleet.key || .venv/bin/python -m onyxpass agent key deploy/fleet.key
	.venv/bin/python -m onyxpass agent run --config deploy/agent.toml

ci:
	bash .ci/run

clean:
	rm -rf .venv .venv-dev .mypy_cache .ruff_cache .pytest_cache

# EARLIER: a checkout of the build to compare with
bench-start: dev
	.venv-dev/bin/python benchmarks/start.py $(EARLIER)

bench-together: dev
	.venv-dev/bin/python benchmarks/together.py

bench-schedules: dev
	.venv-dev/bin/python benchmarks/schedules.py

bench-capacity: dev
	.venv-dev/bin/python benchmarks/capacity.py

bench-reclaim: dev
	.venv-dev/bin/python benchmarks/reclaim.py

bench-guard: dev
	.venv-dev/bin/python benchmarks/guard.py

bench-waiting-memory: dev
	.venv-dev/bin/python benchmarks/waiting_memory.py
