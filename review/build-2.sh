#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standin-2
