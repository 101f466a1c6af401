#!/usr/bin/env bash
# Builds the stand-ins of the script cases 6 to 9 into target/review-2. Run it after the build
# line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for n in 6 7 8 9; do
  go build -o "target/review-2/case$n" "./review/$n/standin"
done
