#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")"
java -Xmx512m -cp ../build/classes review.Case3 "$(cd ../.. && pwd)" "$PWD" &
trap 'kill $!; wait $!; exit 2' INT TERM
wait $!
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
