.PHONY: run test build lint
build:
	sh deploy/build.sh
run: build
	.venv/bin/ospreyrouter rehearse
test: build
	.venv/bin/python -m tests
lint: build
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
