#!/bin/sh
# Fails if src/ or include/ uses a name of the platform's protocol, if platform/ uses timers, clocks
# or random numbers (it only translates and takes no decisions), or if it exceeds 2500 lines.
set -u
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|lease|keep)|run-(start|stop)|Executors\.|fencing-token|mem-mb'
names="$names|estimate-ms|clock-ms|last-seen|slack-factor|target-completion|max-attempts"
names="$names|op/(config|evacuate|wave)|best-effort|long-running|anti-affinity|fill-count"
names="$names|miss-allowed|lease-id|allow-stale|has-more|x-expected|x-deadline|cold-remaining"
names="$names|heartbeat-address|born\"|AZUREROCK_BOOT"
failed=0
if grep -rnE "$names" src include; then
  echo "names of the platform's protocol outside platform/" >&2
  failed=1
fi
if grep -nE 'uv_|g_rand|g_timeout|clock_gettime|az_clock|sleep' platform/*.[ch]; then
  echo "platform/ only translates: no timers, clocks or random numbers" >&2
  failed=1
fi
lines=$(cat platform/*.[ch] | wc -l)
if [ "$lines" -gt 2500 ]; then
  echo "platform/ has $lines lines, more than 2500" >&2
  failed=1
fi
exit $failed
