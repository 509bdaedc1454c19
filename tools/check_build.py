"""Checks the built executable: runs entry processes and a runner from it and submits a job."""

import sys
import tempfile
from pathlib import Path

from kumquatlift.client import Client
from kumquatlift.codes import ResultCode
from tools.cluster import ROOT, Cluster

EXECUTABLE = ROOT / "build" / "kumquatlift"


def main() -> int:
    """Run the check and return the exit code."""
    with (
        tempfile.TemporaryDirectory(prefix="kumquatlift-") as scratch,
        Cluster(
            folder=Path(scratch),
            document=ROOT / "features" / "document.toml",
            zones=["north", "north", "south"],
            voters=["north-1", "north-2", "south-1"],
            command=[str(EXECUTABLE)],
        ) as cluster,
    ):
        cluster.start_entries()
        cluster.start_runners("north-a", service="work", zone="north")
        cluster.wait_until_started()
        client = Client(entries=cluster.callers, give_up_s=20)
        tasks = [{"id": "t", "body": {"run_ms": 10}}]
        submission = client.submit({"service": "work", "kind": "once", "tasks": tasks})
        print(
            f"{EXECUTABLE.relative_to(ROOT)}: a submitted job was answered with {submission.answer}"
        )
        return 0 if submission.code is ResultCode.COMPLETE else 1


if __name__ == "__main__":
    sys.exit(main())
