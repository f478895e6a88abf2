#!/bin/sh
# Builds the stand-ins of the scripted cases of the third review. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review3/standin3 ./review/_standin3
