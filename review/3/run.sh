#!/usr/bin/env bash
# Streams that clients take up again after all nodes were killed, while servers of two software versions serve.
# Run review/build.sh first. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. TROUBLE=kill kills the nodes while servers of one version serve.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cloverrail ] && [ -x target/review-cases ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review-cases -case versions -program target/cloverrail -record review/3/record.txt -trouble "${TROUBLE:-1}"
