#!/bin/bash
# Case 1. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0 leaves out the disruptions;
# many or upgrade leaves in that one. TROUBLE=history replaces the process after 7,000 removals instead, past has these removals alone.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in bin/valvecove review/bin/standin; do
  if [ ! -x "$root/$program" ]; then echo "not built: $program" >&2; exit 2; fi
done
TROUBLE=${TROUBLE:-1} timeout --kill-after=2 100 "$root/review/bin/standin" split "$root" "$here/record.txt"
code=$?
if [ $code -gt 2 ]; then exit 2; fi
exit $code
