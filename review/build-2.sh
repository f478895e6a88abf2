#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. The programs under test are built as the deploy file says.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_standin2
