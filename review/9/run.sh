#!/bin/sh
# Runs the case. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the
# disruption. The record is written to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/forkhead ] || [ ! -x bin/review-second ]; then
	echo 'run the build of deploy/balancer.toml and review/build-2.sh first' >&2
	exit 2
fi
exec bin/review-second two-copies review/9
