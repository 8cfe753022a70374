# GO_TEST_FLAGS are added to every go test command.
GO_TEST_FLAGS ?=

.PHONY: build test lint fmt demo bench bench-policy bench-state prove gates generate

build:
	go build -o bin/ ./cmd/...

test: lint build
	go test -count=1 $(GO_TEST_FLAGS) ./...

lint:
	@unformatted="$$(gofmt -l $$(git ls-files '*.go'))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

fmt:
	gofmt -w $$(git ls-files '*.go')

# generate needs buf, protoc-gen-go and protoc-gen-connect-go; its output is committed.
generate:
	buf generate

# demo starts three instances as separate processes, sends requests and stops them.
demo: build
	scripts/demo.sh

# bench-policy measures assignment policies with generated load; the result goes to out/.
BENCH_POLICY_FLAGS ?= --seed 1
bench-policy:
	@mkdir -p out
	go run ./cmd/benchpolicy --json out/policy.json $(BENCH_POLICY_FLAGS) | tee out/policy.md

# bench takes some minutes; its results are in out/.
bench: build
	scripts/bench.sh

# prove runs all failures with separate processes and the long property tests, and writes
# the table to prove-out. A part of the scenarios and short property tests run in test.
prove:
	BASILWAY_SCHEDULES=10000 go test -count=1 -timeout 60m ./lease ./ownership ./dedupe ./quarantine ./admission
	BASILWAY_PROVE=1 BASILWAY_PROVE_OUT=$(CURDIR)/prove-out go test -count=1 -timeout 60m -v ./internal/prove

# gates forces each safety gate open in a copy of the sources and prints which tests fail.
# It takes about 15 minutes.
gates:
	go run ./cmd/gatecheck

# bench-state measures what the cluster state costs a daemon at up to 1,900 members.
bench-state: build
	scripts/bench-state.sh
