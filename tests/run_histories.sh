#!/bin/sh
# Runs histories.py (azurerock-entry and azurerock-agent) with each seed given; see run_seeds.sh.
exec tests/run_seeds.sh histories "python3 tests/histories.py --build ${BUILD:-build} --seed {}" "$@"
