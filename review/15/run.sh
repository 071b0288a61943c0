#!/bin/sh
# Plays this case; see claim.txt. TROUBLE=0 leaves out the disruption.
Here=$(cd "$(dirname "$0")" && pwd)
cd "$Here/../.." || exit 2
Program=target/review-3/case-$(basename "$Here")
[ -x "$Program" ] || exit 2
exec "$Program" "$Here"
