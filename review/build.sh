#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/testdata/standin"
go build -o ../../../target/review-standin .
