# build    compile the program to bin/
# test     all tests, with fixed seeds
# check    formatter, vet, linters
# fmt      rewrite the sources in the standard format
# bench    Go benchmarks
# docs     rewrite the generated pages
# matrix   every fault at every step, and docs/FAULTS.md
# soak     real processes under random faults; SEEDS=10-20 TIME=30s
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: build test race check fmt bench docs demo crash-check bench-process matrix soak

build:
	$(GO) build -o bin/pimentoswitch ./cmd/pimentoswitch

test:
	$(GO) test ./...

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
