#!/usr/bin/env bash
# Leaves target/saltlatch.jsa, the JVM's archive of the classes that `serve` uses: a node starts with half the CPU.
# The sample's node is its own app srv, counter and discovery: a req passes round through it until the plan's six units
# are spent, which loads the classes of every path, those of failures too. A node runs without the archive as well.
set -u
cd "$(dirname "$0")/.."
flags=$(sed -n 's/^run = "exec java \(.*\) -XX:SharedArchiveFile=.*$/\1/p' deploy/balancer.toml)
log=target/archive.log
rm -f target/saltlatch.jsa
# Netty's native library, which a node would write to $TMPDIR at each start otherwise.
(cd target && jar xf saltlatch.jar META-INF/native)
# Two nodes by the settings, the other one being this one again: what it tells its peer comes back to it.
sed -e 's/"peersTotal":1/"peersTotal":2/' -e 's/"countLimit":30/"countLimit":30,"peerInPerS":40/' \
  -e 's/"peers":\[/"peers":["127.0.0.1:16380",/' deploy/sample.json > target/archive.json
LB_CONFIG=target/archive.json sh -c "exec java $flags -XX:ArchiveClassesAtExit=target/saltlatch.jsa -jar target/saltlatch.jar serve" \
  > "$log" 2>&1 &
node=$!
for _ in $(seq 100); do grep -q 'serves on' "$log" && break; sleep 0.1; done
if exec 3<>/dev/tcp/127.0.0.1/16379; then
  printf '*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nINFO\r\n' >&3
  terms='c=read,t=plan,d=900,units=1,spread=2,r=1'
  for i in 1 2 3 4 5 6 7 8; do
    printf '*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n%016d\r\n$16\r\n%016d\r\n$%d\r\n%s\r\n' "$i" "$i" "${#terms}" "$terms" >&3
  done
  kill -HUP "$node"
  sleep 2.5
  exec 3>&-
fi
kill -TERM "$node"
wait "$node"
test -s target/saltlatch.jsa || echo "no class archive: $(tail -1 "$log")" >&2
exit 0
