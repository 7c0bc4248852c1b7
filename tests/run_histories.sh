#!/bin/sh
# Histories of azurerock-entry and azurerock-agent with the seeds given; see run_seeds.sh.
exec tests/run_seeds.sh histories "python3 tests/histories.py --build ${BUILD:-build} --seed {}" "$@"
