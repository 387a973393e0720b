#!/bin/bash
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
FOLDER="$(mktemp -d)" || exit 2
export FOLDER RECORD="$here/record.txt"
trap 'rm -rf "$FOLDER"' EXIT
[ -x target/review/case1 ] || exit 2
timeout -k 2 115 target/review/case1
status=$?
if [ $status -gt 1 ]; then
    # The driver was ended before its time, and couldn't end the others.
    [ -f "$FOLDER/processes" ] && kill -9 $(cat "$FOLDER/processes") 2>/dev/null
    status=2
fi
exit $status
