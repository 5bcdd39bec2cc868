# The commands of the project. `make test` is what CI runs.
GO ?= go
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo unversioned)

.PHONY: build test lint dev bench soak-submissions soak-jobs races resends random mutants fuzz docs generate pairs ablate fleet

build: ## build bin/lichenfall
	$(GO) build -trimpath -ldflags "-X github.com/lichenfall/lichenfall/commands.version=$(VERSION)" -o bin/lichenfall .

test: ## run all tests with the race detector; KNOWN-RED.txt is obeyed
	scripts/test

lint: ## formatter, vet and staticcheck
	scripts/lint

dev: ## run everything in one process on loopback, with stand-ins
	$(GO) run . dev

bench: ## benchmarks of the cores and the codec
	$(GO) test -run '^$$' -bench . -benchmem ./submissions/dispatch ./submissions/queue ./submissions/claim ./wire ./jobs/scheduler ./jobs/runtable

soak-submissions: build ## ten minutes of real processes under kills and pauses
	$(GO) test -tags soak ./submissions/soak -run TestSoak -v -count=1 -timeout 30m -args -soak.duration 10m

SEEDS ?= 50
FIRST ?= 1
soak-jobs: ## coordinators and workers as processes, harmed from outside; SEEDS cases from FIRST on
	LICHENFALL_SOAK_SEEDS=$(SEEDS) LICHENFALL_SOAK_FIRST=$(FIRST) $(GO) test ./platform -run TestSoak -v -count=1 -timeout 60m

RACES ?= 60s
FAULTS ?=
races: ## one order at a time: real connections before backend servers that delay, lose, repeat and refuse; FAULTS of platform/races_test.go
	LICHENFALL_RACES=$(RACES) LICHENFALL_FAULTS="$(FAULTS)" $(GO) test ./platform -run TestRacesOfOneOrder -v -count=1 -timeout 60m

PHASES ?= all:none,all:freeze coordinators,all:peers cut,silent:peers delayed
resends: ## callers that send their jobs again, with many processes; PHASES of platform/soak_resends_test.go
	LICHENFALL_RESENDS="$(PHASES)" $(GO) test ./platform -run 'TestResends$$' -v -count=1 -timeout 60m

random: ## 200,000 randomised cases
	LICHENFALL_CASES=200000 $(GO) test ./submissions/dispatch -run TestRandomised -v

mutants: ## break the program on purpose; every break must be caught
	scripts/mutants

fuzz: ## half a minute for each decoder
	$(GO) test ./wire -run '^$$' -fuzz FuzzRead -fuzztime 30s
	$(GO) test ./submissions/job -run '^$$' -fuzz FuzzDecode -fuzztime 30s
	for f in FuzzHeartbeat FuzzLists FuzzRecords; do $(GO) test ./platform -run '^$$' -fuzz $$f -fuzztime 30s || exit 1; done

BOXES ?= 100,300,1000,2000
fleet: ## what fleets of so many boxes cost the store, by a model in virtual time
	LICHENFALL_FLEET=$(BOXES) $(GO) test ./platform -run 'TestFleet$$' -v -count=1

docs: build ## rewrite the pages that are made from code
	bin/lichenfall pages docs

generate: ## rewrite generated code (needs nothing installed)
	$(GO) generate ./...

BENCH ?=
pairs: ## play days of the users' bench in pairs; see scripts/play for ARGS
	scripts/play $(BENCH) $(ARGS)

ablate: ## switch mechanisms off one by one, in pairs; see scripts/ablate for ARGS
	scripts/ablate $(BENCH) $(ARGS)
