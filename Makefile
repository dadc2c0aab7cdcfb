# The front door of the project; `make help` lists what it offers.
BIN := $(CURDIR)/.bin
export PATH := $(BIN):$(PATH)
VERSION := $(shell git describe --tags --always --dirty 2>/dev/null || echo unknown)
GO_FILES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

SOAK = -soak-seeds $(or $(SEEDS),50) -soak-first $(or $(FIRST),1) -soak-length $(or $(LENGTH),30s) \
	-soak-hosts $(or $(HOSTS),5) -soak-workers $(or $(WORKERS),12) $(if $(KEEP),-soak-keep $(KEEP)) \
	$(if $(ONLY),-soak-only "$(ONLY)")

# CROWD matches the tests that measure the memory of a host under a crowd of clients.
CROWD = ^(TestClientsKeepHostWithinItsLimits|TestLargeJobsKeepHostWithinItsLimits|TestLargestRequestIsServed)$$

.PHONY: help build soak test lint fmt fmt-check layers generate generate-check proofs-check bench demo tools measure

help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 18

build: ## build the three programs into .bin
	go build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./cmd/...

test: ## run all tests with the race detector, those of crowds of clients last and apart from other load
	@code=0; \
	go test -race -timeout 9m -skip '$(CROWD)' ./... || code=1; \
	go test -race -timeout 9m -run '$(CROWD)' ./tests || code=1; \
	exit $$code

soak: ## run the fault soak of real processes with more seeds
	go test ./tests -run '^TestSoak$$' -count 1 -timeout 120m -args $(SOAK)

lint: ## run the linter
	golangci-lint run ./...

fmt: ## format all Go files
	gofumpt -w $(GO_FILES)

fmt-check: ## fail when a Go file is not formatted
	@out=$$(gofumpt -l $(GO_FILES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

layers: ## check that imports point down
	@.ci/layers

generate: ## generate the wire types from the schema
	protoc -I api --go_out=. --go_opt=module=github.com/auburncleat/auburncleat api/*.proto

generate-check: ## fail when the wire types are not those of the schema
	@.ci/generated

proofs-check: ## check that docs/PROOFS.md names tests that exist
	@.ci/proofs

bench: ## run all benchmarks, ready for benchstat
	go test -run '^$$' -bench . -benchmem -count $(or $(COUNT),1) ./...

tools: ## build the pinned formatter, linter and generator
	.ci/tools

demo: ## run a whole deployment on loopback; DEPLOYMENT=settlement picks the other one
	@scripts/demo

measure: ## replay the recorded traces through our planner and both baselines
	@go test -run '^$$' -bench '^BenchmarkMeasure$$' -benchtime 1x ./internal/state/replay | grep -vE '^(goos|goarch|pkg|cpu|PASS)'
