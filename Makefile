# GO_TEST_FLAGS are added to the go test command of the test target.
GO_TEST_FLAGS ?=

.PHONY: build test lint fmt demo bench bench-policy bench-state prove gates generate

build:
	go build -o bin/ ./cmd/...

# The tests of platform/crowd measure memory, so they run apart from the others.
test: lint build
	go test -count=1 $(GO_TEST_FLAGS) $$(go list ./... | grep -v /platform/crowd)
	go test -count=1 $(GO_TEST_FLAGS) ./platform/crowd

lint:
	@unformatted="$$(gofmt -l $$(git ls-files '*.go'))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	for arch in amd64 arm64; do CGO_ENABLED=0 GOARCH=$$arch go vet ./... || exit 1; done
	go tool staticcheck ./...

fmt:
	gofmt -w $$(git ls-files '*.go')

# generate needs buf, protoc-gen-go and protoc-gen-connect-go; its output is committed.
generate:
	buf generate

# demo starts instances as separate processes, sends requests and stops the instances.
demo: build
	scripts/demo.sh

# bench-policy measures assignment policies with generated load and writes the results to out/.
BENCH_POLICY_FLAGS ?= --seed 1
bench-policy:
	@mkdir -p out
	go run ./cmd/benchpolicy --json out/policy.json $(BENCH_POLICY_FLAGS) | tee out/policy.md

# bench measures throughput, latency, goodput under overload and the cost of idle daemons, and
# writes the results to out/. It takes some minutes.
bench: build
	scripts/bench.sh

# prove runs all failure scenarios with separate processes and the long property tests, and
# writes the result table to prove-out. The test target runs some of the scenarios and short
# property tests.
prove:
	BASILWAY_SCHEDULES=10000 go test -count=1 -timeout 60m ./lease ./ownership ./dedupe ./quarantine ./admission
	BASILWAY_PROVE=1 BASILWAY_PROVE_OUT=$(CURDIR)/prove-out go test -count=1 -timeout 60m -v ./internal/prove

# gates disables each safety check in turn in a copy of the sources and prints which tests
# fail. It takes some hours; GATES_FLAGS="--failfast --part 1/4" runs a part of them, each up to
# the first test that fails.
gates:
	go run ./cmd/gatecheck $(GATES_FLAGS)

# bench-state measures the memory and processor time that the cluster state costs a daemon at
# up to 1,900 members.
bench-state: build
	scripts/bench-state.sh
