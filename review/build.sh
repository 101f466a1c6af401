#!/usr/bin/env bash
# Builds the stand-ins of all cases, one program. Its source is in the first case's folder.
set -eu
cd "$(dirname "$0")/1/standin"
go vet .
go build -o ../../../target/review-standin .
