#!/bin/sh
# Plays the case once; TROUBLE=0 plays it without the disruption. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/out/review-2/stand-2
if [ ! -x "$program" ] || [ ! -x "$root/target/agent" ] || [ ! -x "$root/target/balancer" ]; then
	echo "build the deploy file and review/build-2.sh first" >&2
	exit 2
fi
folder=$(mktemp -d) || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout 115 "$program" -case late-entry -trouble=$trouble -root "$root" -folder "$folder" -record "$here/record.txt" &
pid=$!
trap 'kill $pid' TERM INT HUP
wait $pid
code=$?
trap - TERM INT HUP
wait $pid 2>/dev/null
rm -rf "$folder"
[ $code -le 1 ] || code=2
exit $code
