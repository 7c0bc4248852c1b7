#!/bin/sh
# Soaks of gateways and sidecars with the seeds given, SECONDS_EACH (20) s of faults each; see
# run_seeds.sh.
build=${BUILD:-build}
exec tests/run_seeds.sh soak "timeout 300 python3 tests/soak.py --build $build --seed {} \
  --seconds ${SECONDS_EACH:-20} --keep $build/soak/logs-{}" "$@"
