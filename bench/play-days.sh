#!/usr/bin/env bash
# play-days.sh SITE [OPTIONS OF THE BENCH...]: plays every day of bench/days on the given site, one after another, and
# prints the result of each from its journal entry. FLEETBENCH is the path of the bench if it is not in its default
# place beside the repository.
set -u
site=$(realpath "${1:?usage: play-days.sh SITE [OPTIONS...]}"); shift
cd "$(dirname "$0")/.."
bench=${FLEETBENCH:-../given/kit/more/system/bin/fleetbench}
out=$(mktemp -d)
# Days that test the model service refer to it as ENGINE; the site file has its name.
engine=$(sed -n 's/^ *{ name = "\([^"]*\)", model = "llm".*/\1/p' "$site" | head -1)
failed=0
for day in bench/days/*.toml; do
  name=$(basename "$day" .toml)
  touch "$out/before"
  sed "s/ENGINE/$engine/" "$day" > "$out/$name.toml"
  "$bench" run "$site" "$out/$name.toml" --why "own day $name" "$@" > "$out/$name.txt" 2>&1
  # Other runs may write entries at the same time: take one written since the start whose reason names this day.
  entry=$(find journal -maxdepth 1 -name '*.json' -newer "$out/before" -exec grep -l "\"why\":\"own day $name\"" {} + | tail -1)
  if [ -n "$entry" ] && grep -q '"gate":true' "$entry" && ! grep -q '"gate":false' "$entry"; then echo "passed  $name"
  else echo "FAILED  $name  ($out/$name.txt)"; failed=$((failed + 1)); fi
done
echo "$failed failed"
[ "$failed" -eq 0 ]
