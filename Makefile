.PHONY: build test format lint run

build:
	mvn -q -DskipTests package
	bash deploy/archive.sh

test:
	mvn -B verify

format:
	mvn -q -B formatter:format

# The layout and checkstyle's rules (in `mvn verify` too), javac's lints as errors, no tabs and no long lines. The JDK handles signals by a class of its own
# alone, of which javac warns whatever it is told.
lint:
	mvn -q -B formatter:validate checkstyle:check
	@out=$$(mvn -B -DskipTests clean compile) || { echo "$$out"; exit 1; }; \
	  ! echo "$$out" | grep WARNING | grep -v 'sun.misc.Signal'
	@! grep -nP '\t| +$$' -r src --include=*.java
	@! find src -name '*.java' | xargs awk 'length > 130 { print FILENAME ": " FNR; bad = 1 } END { exit !bad }'

run: build
	LB_CONFIG=$${LB_CONFIG:-deploy/sample.json} sh -c "$$(sed -n 's/^run = "\(.*\)"  *#.*$$/\1/p' deploy/balancer.toml)"
