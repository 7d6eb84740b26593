#!/usr/bin/env bash
# Builds the program as the deploy file does, and the stand-ins of the cases, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/cloverrail
go build -o target/review-cases ./review/_cases
