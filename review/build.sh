#!/usr/bin/env bash
# Builds the stand-ins of the cases.
set -eu
cd "$(dirname "$0")/standin"
go vet .
go build -o ../../target/review-standin .
