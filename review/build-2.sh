#!/bin/sh
# Builds the program of the cases 4 to 6, with all stand-ins that they start. Runs at any place in the repository.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/review-case ./review/_stand2
