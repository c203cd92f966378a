# build          compile the program to bin/
# test           run all tests, with fixed seeds; SKIP=pattern leaves out some
# race           run all tests with the race detector
# check          run the formatter check, vet and the linters
# fmt            format the sources
# bench          run the Go benchmarks
# docs           regenerate docs/ERRORS.md
# demo           run a whole system in one process
# crash-check    kill and restart daemons of a cluster of processes under load
# bench-process  measure the resource usage of a cluster of processes
# matrix         run the test of every fault at every step and regenerate docs/FAULTS.md
# soak           run processes under random faults: SEEDS=10-20 TIME=30s
# fuzz           fuzz each decoder for FUZZ_TIME
# experiment     play the loads of the model in virtual time: SEEDS_OF_LOAD=20 WITHOUT=mechanism
# regression     play the light days of the deployments in force: BENCH=program PAGES=folder
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: build test race check fmt bench docs demo crash-check bench-process matrix soak fuzz regression experiment

build:
	$(GO) build -o bin/pimentoswitch ./cmd/pimentoswitch

test:
	$(GO) test $(if $(SKIP),-skip '$(SKIP)') ./...

race:
	$(GO) test -race ./...

check:
	@mkdir -p test
	@test -z "$$($(TOOL) gofumpt -l cmd internal platform test)" || { $(TOOL) gofumpt -d cmd internal platform test; exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...
	$(TOOL) revive -config tools/revive.toml ./...

fmt:
	$(TOOL) gofumpt -w cmd internal platform test

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

docs: build
	bin/pimentoswitch errors --markdown > docs/ERRORS.md

demo:
	$(GO) run ./cmd/pimentoswitch demo

crash-check: build
	sh test/crash_check.sh bin/pimentoswitch

bench-process: build
	sh test/process_bench.sh bin/pimentoswitch

matrix:
	$(GO) test ./internal/node/pimcore -run TestFaultMatrix -write-faults $(CURDIR)/docs/FAULTS.md

SEEDS ?= 10-20
TIME ?= 30s
soak:
	PIM_SOAK_SEEDS=$(SEEDS) PIM_SOAK_TIME=$(TIME) $(GO) test ./platform/pimadapter -run TestSoak -v -timeout 60m

FUZZ_TIME ?= 30s
fuzz:
	@for package in ./platform/pimadapter ./internal/job/pimjob ./internal/job/pimrelay ./internal/member/pimpeer ./internal/state/pimlog; do \
		for name in $$($(GO) test -list '^Fuzz' $$package | grep ^Fuzz); do \
			$(GO) test $$package -run '^$$' -fuzz "^$$name$$" -fuzztime $(FUZZ_TIME) -parallel 2 || exit 1; \
		done; \
	done

regression:
	sh test/regression.sh $(BENCH) $(PAGES)

SEEDS_OF_LOAD ?= 4
experiment: build
	@for load in internal/measure/pimexperiment/loads/*.yaml; do \
		bin/pimentoswitch experiment $$load --seeds $(SEEDS_OF_LOAD) --without '$(WITHOUT)' || exit 1; \
	done
