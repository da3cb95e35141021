# Entry points of all tasks. `make help` lists them.

LINTER := bin/golangci-lint
GOPLS := bin/gopls
FUZZ_TIME ?= 60s
SOAK_SEEDS ?= 50
SOAK_FIRST ?= 0

.PHONY: help build test lint format gopls ci demo fuzz soak slopes clean

help: ## List the tasks.
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/:/'

build: ## Build both programs into bin/.
	go build -o bin/ ./cmd/...

# The scenarios run after the other tests and a few at a time, because they check
# deadlines of real processes, which a machine busy with compilers would miss.
test: build ## Run every test.
	scripts/test

lint: $(LINTER) ## Run the formatter's check and the linter.
	$(LINTER) fmt --diff
	$(LINTER) run ./...

format: $(LINTER) ## Format the code.
	$(LINTER) fmt

$(LINTER): tools/go.mod
	go -C tools build -o ../$(LINTER) github.com/golangci/golangci-lint/v2/cmd/golangci-lint

# gopls needs other versions of the linter's libraries, so it has a module of its own.
$(GOPLS): tools/gopls/go.mod
	go -C tools/gopls build -o ../../$(GOPLS) golang.org/x/tools/gopls

gopls: $(GOPLS) ## Build gopls, which renames an identifier with all its uses.

ci: ## Run what .ci/run runs: lint, build, vet, every test, a bounded fuzz run.
	scripts/ci

demo: build ## Start a small fleet, send requests through it and kill one entry meanwhile.
	scripts/demo

fuzz: ## Run each fuzz target for FUZZ_TIME.
	scripts/fuzz $(FUZZ_TIME)

soak: ## Run SOAK_SEEDS seeds of random faults on real processes, from SOAK_FIRST (0: random).
	scripts/soak $(SOAK_SEEDS) $(SOAK_FIRST)

slopes: ## Measure how cost grows with size, for docs/CAPACITY.md.
	scripts/slopes

clean: ## Remove build output.
	rm -rf bin out
