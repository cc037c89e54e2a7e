#!/usr/bin/env bash
# Plays one case: run-case.sh CASE_FOLDER CLASS [ARGUMENT...]. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case_folder=$1; class=$2; shift 2
if [ ! -f "$root/target/saltlatch.jar" ] || [ ! -f "$here/build/$class.class" ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build-2.sh"; exit 2
fi
run=$(sed -n 's/^run = "\(.*\)"  *#.*$/\1/p' "$root/deploy/balancer.toml")
folder=$(mktemp -d)
java -Xmx512m -cp "$here/build" "$class" "$root" "$run" "$folder" "${TROUBLE:-1}" "$case_folder/record.txt" "$@" &
player=$!
trap 'kill -TERM "$player" 2>/dev/null' TERM INT
wait "$player"
code=$?
rm -rf "$folder"
case $code in 0|1) exit "$code" ;; *) exit 2 ;; esac
