"""All machines lose power; the executors start again under the ids that they had. Each job requires
the kind of an executor."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from deployment import Executor, main  # noqa: E402
from final_fault import play_final_fault  # noqa: E402

KINDS = ["a", "a", "b"]
N_TASKS, WORK_MS, CPU = 2, 200, 3100


class KindExecutor(Executor):
    """Its first label is its kind."""

    def __init__(self, name, *arguments):
        super().__init__(name, *arguments)
        self.labels = [KINDS[int(name.split("-")[1]) % len(KINDS)], "r1"]


async def play(deployment, trouble):
    await play_final_fault(deployment, trouble, lambda number: deployment.body(
        N_TASKS, WORK_MS, CPU, requirements=KINDS[number % len(KINDS)]))


if __name__ == "__main__":
    main(FOLDER, play, executor_class=KindExecutor)
