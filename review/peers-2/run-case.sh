#!/bin/sh
# Runs the case in the folder given. The call router is started with the command of the deploy file.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=build/review-2/$(basename "$folder")
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
CASE_FOLDER=$folder
CASE_TMP=$(mktemp -d) || exit 2
export RUN_COMMAND CASE_FOLDER CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
if [ ! -x "$program" ] || [ ! -x build/heathturn ] || [ -z "$RUN_COMMAND" ]; then
  echo "the program or the stand-ins are not built"
  exit 2
fi
timeout 110 "$program"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
