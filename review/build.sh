#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, after the build of the deploy file. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/_standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-standin .
