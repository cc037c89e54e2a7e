#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")"
exec java -Xmx512m -cp ../build/classes review.Case3 "$(cd ../.. && pwd)" "$PWD"
