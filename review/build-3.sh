#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/standin3 ./review/11/standin
