#!/bin/sh
# Creates symbolic links to the files that the kit has beside a site file, so that the bench can play the sites of this
# folder. The links are not committed. The kit's folder may be given; it is looked for beside the repository otherwise.
set -eu
cd "$(dirname "$0")"
kit=${1:-../../../given/kit}
from=$kit/more/mass/other
if [ ! -d "$from" ]; then
	echo "link-kit.sh: $from is not there: the kit that holds real.json, wire.json and unlock.txt; name its folder" >&2
	exit 2
fi
for f in real.json wire.json unlock.txt; do
	if [ ! -f "$from/$f" ]; then
		echo "link-kit.sh: $from has no $f" >&2
		exit 2
	fi
	ln -sfn "$from/$f" "$f"
done
