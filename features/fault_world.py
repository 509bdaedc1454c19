"""Entry processes in three zones with proxies between them, and their configuration."""

import tempfile
from pathlib import Path
from typing import Any

from features.world import DOCUMENT, RUNNERS, World
from kumquatlift.failure import Failure
from tools.cluster import wait_for

# The north zone has two entry processes but only one of the three voters, so it is in the minority
# when it is cut off. The east zone has no runner.
ZONES = ("north", "north", "south", "east")
VOTERS = ("north-1", "south-1", "east-1")


class FaultWorld(World):
    """Four entry processes with fault proxies between them."""

    def __init__(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.write(DOCUMENT.read_text().replace('"north-2"', '"east-1"'))
        self._document = Path(file.name)
        super().__init__(document=self._document, zones=ZONES, voters=VOTERS, is_proxied=True)

    def close(self) -> None:
        super().close()
        self._document.unlink()

    def restore(self) -> None:
        """End all faults, restart killed processes, and wait until views and versions agree."""
        cluster = self.cluster
        cluster.network.heal()
        missing = [name for name in cluster.entries if not cluster.is_running(name)]
        if missing:
            cluster.start_entries(*missing)
            cluster.wait_until_started()
        wait_for(
            lambda: self.views_agree(), "every entry process sees all others alive", timeout_s=10
        )
        wait_for(
            lambda: len(set(self.versions().values())) == 1, "the versions agree", timeout_s=10
        )

    def members_seen(self, entry: str) -> dict[str, bool]:
        """Return the other entry processes that one knows, and whether it considers them alive."""
        rows = self.dump(entry)["membership"]["members"]
        return {row["name"]: row["live"] for row in rows if row["name"] != entry}

    def views_agree(self) -> bool:
        """Return whether every entry process considers all the others alive."""
        others = len(self.cluster.entries) - 1
        views = [self.members_seen(name) for name in self.cluster.entries]
        return all(len(view) == others and all(view.values()) for view in views)

    def dump(self, entry: str) -> dict[str, Any]:
        """Return the state dump of an entry process."""
        return self._operators(entry, "GET", "/v1/dump")

    def versions(self, *entries: str) -> dict[str, int]:
        """Return the version of the configuration in force in each entry process."""
        names = entries or self.cluster.entries
        return {name: self.dump(name)["config"]["version"] for name in names}

    def propose(self, entry: str, change_id: str, expected_ms: int) -> dict[str, Any]:
        """Propose a change of one field to the configuration in force in an entry process.

        Returns:
            The answer to the change.
        """
        current = self._operators(entry, "GET", "/v1/configuration")
        current["document"]["services"]["work"]["kinds"]["again"]["expected_ms"] = expected_ms
        payload = {
            "change_id": change_id,
            "base_version": current["version"],
            "base_register": current["register"],
            "document": current["document"],
        }
        return self._operators(entry, "POST", "/v1/configuration/changes", payload)

    def changes(self, entry: str) -> list[str]:
        """Return the ids of the changes that an entry process knows, newest first."""
        answer = self._operators(entry, "GET", "/v1/configuration/changes")
        return [change["id"] for change in answer["changes"]]

    def runners_of(self, zone: str) -> list[str]:
        """Return the names of the runners in a zone."""
        return [name for name, runner_zone in RUNNERS.items() if runner_zone == zone]

    def _operators(self, entry: str, *request: Any) -> dict[str, Any]:
        answer = self.cluster.ask_operators(entry, *request)
        assert not isinstance(answer, Failure), answer
        return dict(answer)
