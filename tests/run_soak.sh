#!/bin/sh
# Runs soak.py (gateways and sidecars) with each seed given, with faults for SECONDS_EACH (default
# 20) seconds, of the kinds FAULTS (names joined by commas, default all); see run_seeds.sh.
build=${BUILD:-build}
exec tests/run_seeds.sh soak "timeout 300 python3 tests/soak.py --build $build --seed {} \
  --seconds ${SECONDS_EACH:-20} ${FAULTS:+--faults $FAULTS} --keep $build/soak/logs-{}" "$@"
