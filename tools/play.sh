#!/usr/bin/env bash
# Runs simulated days of a site, JOBS at a time, and prints a line for each: day,
# seed, score, worth, served, refused, failed and the weakest part, followed by up
# to three lines about broken rules. The simulator is not part of the repository;
# FLEETBENCH is the path of its program.
#
#   FLEETBENCH=... tools/play.sh SITE JOBS "DAY[:SEED] ..." [simulator options]
set -euo pipefail
site=$1 jobs=$2 days=$3
shift 3
: "${FLEETBENCH:?name the bench in FLEETBENCH}"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
play() {
	local site=$1 out=$2 day=${3%%:*} seed=""
	shift 2
	local name=$1
	shift
	case $name in *:*) seed="--seed ${name##*:}" ;; esac
	local file=$out/${name//\//_}
	# shellcheck disable=SC2086
	"$FLEETBENCH" run "$site" "$day" $seed "$@" >"$file" 2>&1 || true
	printf '%-28s %s\n' "$name" "$(grep -m1 -E '^\S+ +[0-9]+/[0-9]+ ' "$file" | cut -c30- || echo 'no result')"
	grep -m3 -E 'broken, on|BROKEN|is wrong|ended by itself' "$file" | grep -v -E '^\S+ +[0-9]+/[0-9]+ ' | cut -c1-220 || true
}
export -f play
export FLEETBENCH
printf '%s\n' $days | xargs -P "$jobs" -I{} bash -c 'play "$@"' _ "$site" "$out" {} "$@"
