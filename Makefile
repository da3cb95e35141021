# One door to every task. `make help` lists them.

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

# The scenarios run after the other tests and a few at a time: they hold real
# processes against deadlines, which a machine full of compilers would miss.
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

ci: ## What .ci/run calls.
	scripts/ci

demo: build ## Start a small fleet, send requests through it, stop one entry on the way.
	scripts/demo

fuzz: ## Run each fuzz target for FUZZ_TIME.
	scripts/fuzz $(FUZZ_TIME)

soak: ## Run SOAK_SEEDS seeds of drawn faults against real processes, from SOAK_FIRST (0 draws it).
	scripts/soak $(SOAK_SEEDS) $(SOAK_FIRST)

slopes: ## Measure the slopes that docs/CAPACITY.md is worked out from.
	scripts/slopes

clean: ## Remove what was built.
	rm -rf bin out
