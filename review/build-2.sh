#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 and later start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases-2 ./review/_cases2
