"""Consistency of the documents and settings of the example deployments."""

from pathlib import Path

import pytest

from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_toml
from kumquatlift.settings import Settings

EXAMPLES = Path(__file__).parent.parent / "examples"
DEPLOYMENTS = sorted(path.parent for path in EXAMPLES.glob("*/document.toml"))


def test_there_are_two_deployments() -> None:
    assert len(DEPLOYMENTS) == 2


@pytest.mark.parametrize("folder", DEPLOYMENTS)
class TestExamples:
    """Guards against an example whose settings are refused or do not match its document."""

    def test_document_is_valid_and_has_the_expected_limits(self, folder: Path) -> None:
        text = (folder / "document.toml").read_text(encoding="utf-8")
        doc = read_toml(text)
        assert isinstance(doc, Document), doc
        (service,) = doc.services.values()
        assert (service.slots, service.connections, len(service.kinds)) == (8, 64, 3)
        assert any(not kind.repeatable for kind in service.kinds.values())

    def test_settings_name_the_voters_and_share_no_port(self, folder: Path) -> None:
        settings = [
            Settings.from_file(path)
            for path in sorted(folder.glob("*.toml"))
            if path.name != "document.toml"
        ]
        processes = [entry for entry in settings if isinstance(entry, Settings)]
        assert len(processes) == len(settings) == 6
        assert len({entry.zone for entry in processes}) == 3
        # These fields are the addresses for callers, runners, operators and peers.
        ports = [port for entry in processes for port in entry[2:6]]
        assert len(set(ports)) == 24
        assert all(seed in ports for entry in processes for seed in entry.seeds)
        doc = read_toml((folder / "document.toml").read_text(encoding="utf-8"))
        assert isinstance(doc, Document), doc
        with_disk = {entry.name for entry in processes if entry.data_folder}
        assert set(doc.system.voters) == with_disk
