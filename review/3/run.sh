#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/release/quartzhall ] || exit 2
RECORD="$folder/record.txt" exec review/bin/standin 3
