#!/bin/sh
# Builds the stand-ins of the second review's cases. The project's own programs, which a case starts too, are built by the
# build command of deploy/balancer.toml, which this script runs if it has not been run.
set -eu
cd "$(dirname "$0")/.."
if [ ! -x bin/forkhead ]; then
	sh -c "$(sed -n 's/^build = "\(.*\)".*$/\1/p' deploy/balancer.toml)"
fi
go build -o bin/review-second ./review/second
