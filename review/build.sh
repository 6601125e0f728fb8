#!/bin/sh
# Builds the stand-ins of the cases into bin/, beside what the build of the deploy file leaves there.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-standin ./review/standin
