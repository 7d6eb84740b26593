#!/usr/bin/env bash
# Streams that clients take up again at nodes that started while the store was silent.
# Run review/build.sh first. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. TROUBLE=kill kills and restarts the nodes while the store is sound, and TROUBLE=reset
# while it resets connections.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cloverrail ] && [ -x target/review-cases ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review-cases -case streams -program target/cloverrail -record review/1/record.txt -trouble "${TROUBLE:-1}"
