#!/usr/bin/env bash
# Runs every check of the project: formatter, vet, linters, tests with the race
# detector, model checks, simulated scenarios and the references in docs/PROOF.md.
set -euo pipefail
cd "$(dirname "$0")"

step() { printf '\n== %s\n' "$*"; }

step formatter
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi

step vet
go vet ./...

step linters
mkdir -p bin
(cd tools && go build -o ../bin/ honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive)
bin/staticcheck ./...
bin/revive -config revive.toml -set_exit_status ./...

step tests
go test -race -count=1 -timeout 15m ./...

step crowds of callers # one at a time, apart from the other tests
go vet -tags crowd ./platform
go test -tags crowd -count=1 -timeout 10m -run TestCrowdOf ./platform

step model checks
go run ./internal/speccheck

step simulated scenarios
go build -o bin/ ./internal/measure
for scenario in overload burst slow-engines cold zone host-killed partition stale crashing; do
  bin/measure --policy grants --seeds 1 --scenario "$scenario"
done

step references in docs/PROOF.md
go run ./internal/proofcheck
