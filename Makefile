# Targets for people; .ci/run uses the same scripts.
.PHONY: all build test demo measure format lint sanitize

JOBS ?= 8

all: build

deps:
	scripts/install_deps.sh

build: deps
	scripts/build.sh build

test: build
	scripts/run_tests.sh build

sanitize: deps
	scripts/build.sh build-asan -DPIMENTOHALL_SANITIZE=ON
	scripts/run_tests.sh build-asan

demo: build
	scripts/demo.sh build

measure: build
	scripts/measure.sh build

format: deps
	scripts/format.sh

lint: deps
	scripts/lint.sh build
