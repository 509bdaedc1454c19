"""Durability of a data file."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.clock import ManualClock
from kumquatlift.configuration.data_file import DataFile, FakeDisk, FolderDisk


class _PowerLossError(Exception):
    pass


class TestDataFile:
    """Guards against a lost or partly written value after a crash."""

    def test_value_round_trips_in_a_folder(self, tmp_path: Path) -> None:
        disk = FolderDisk(path=tmp_path / "data")
        file = DataFile(disk=disk, name="state")
        assert file.read() is None
        for value in (b"one", b"two\nlines"):
            file.write(value)
            assert DataFile(disk=disk, name="state").read() == value

    @pytest.mark.parametrize(("sync", "keep_names"), [(0, False), (0, True), (1, False), (1, True)])
    def test_power_loss_at_any_sync_leaves_the_old_or_the_new_value(
        self, sync: int, keep_names: bool
    ) -> None:
        disk = FakeDisk()
        file = DataFile(disk=disk, name="state")
        file.write(b"old")
        stop_at = disk.syncs + sync

        def lose_power() -> None:
            if disk.syncs == stop_at:
                raise _PowerLossError

        disk.before_sync = lose_power
        with pytest.raises(_PowerLossError):
            file.write(b"new")
        disk.crash(keep_names=keep_names)
        # The second sync makes only the rename durable, which may survive a crash without it.
        assert file.read() == (b"new" if sync == 1 and keep_names else b"old")

    def test_written_value_survives_a_crash_and_took_two_syncs(self) -> None:
        clock = ManualClock()
        disk = FakeDisk(sync_s=0.005, sleep=clock.advance)
        DataFile(disk=disk, name="state").write(b"new")
        disk.crash()
        assert DataFile(disk=disk, name="state").read() == b"new"
        assert clock.now() == pytest.approx(0.010)

    @given(st.data())
    def test_truncated_or_corrupt_file_reads_as_missing(self, data: st.DataObject) -> None:
        disk = FakeDisk()
        file = DataFile(disk=disk, name="state")
        file.write(b"some value")
        written = disk.read("state") or b""
        at = data.draw(st.integers(0, len(written) - 1))
        is_truncated = data.draw(st.booleans())
        corrupt = (
            written[:at]
            if is_truncated
            else written[:at] + bytes([written[at] ^ 1]) + written[at + 1 :]
        )
        disk.write("state", corrupt)
        assert file.read() is None
