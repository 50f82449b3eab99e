"""The ledger's log on disk.

Records are appended to segment files.  A record is its length, a checksum and its
bytes; it counts once the file has been synced.  After a power loss the unsynced end of
the newest segment may be missing or torn: reading stops at the first record whose
checksum does not fit, and the rest is cut off, since nobody was told of it.

Space is bounded by moving on: when the oldest segment is past the longest retention,
the accounts that still live and have records in it are written again, whole, to the
newest segment, and the old file is removed.  No pause grows with the size of the
ledger.

A damaged record that is not at the end of the newest segment was acknowledged once.
The folder is then given a new disk id, so that the instance copies everything from the
other replicas before it vouches for anything.
"""

from __future__ import annotations

import os
import struct
import zlib
from typing import Final, NamedTuple

import msgspec

from ..core.ledger import Entry
from ..core.membership import View

HEADER: Final = struct.Struct("<II")
SEGMENT_BYTES: Final = 8 * 1024 * 1024
MAX_RECORD_BYTES: Final = 64 * 1024 * 1024
IDENTITY: Final = "identity"
SEGMENT_PREFIX: Final = "ledger-"
DISK_ID_BYTES: Final = 8


class _EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    entry: Entry


class _ViewRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    view: View


Record = _EntryRecord | _ViewRecord

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Record)


class Segment:
    """One file of the log."""

    def __init__(self, number: int, started: float) -> None:
        self.number = number
        self.started = started
        self.size = 0
        self.programs: set[str] = set()


class Loaded(NamedTuple):
    """What a folder held at the start.

    Attributes
    ----------
    cut_bytes : int
        Bytes of a torn end that were cut off.
    damaged : bool
        Whether a record was damaged that had been acknowledged.
    """

    entries: list[Entry]
    view: View
    cut_bytes: int
    damaged: bool


class Log:
    """The segments in one folder.

    Parameters
    ----------
    folder : str
        Data folder; made if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self.disk = ""
        self._folder = folder
        self._segments: list[Segment] = []
        self._file = -1

    def load(self, now: float) -> Loaded:
        """Read the folder and open a new segment to append to.

        Raises
        ------
        OSError
            If the folder cannot be used.
        """
        os.makedirs(self._folder, exist_ok=True)
        entries: list[Entry] = []
        view = View()
        cut_bytes = 0
        damaged = False
        numbers = self._numbers()
        for number in numbers:
            segment = Segment(number, now)
            records, cut = self._read(number)
            if cut > 0 and number == numbers[-1]:
                self._cut(number, cut)
            for record in records:
                if isinstance(record, _EntryRecord):
                    entries.append(record.entry)
                    segment.programs.add(record.entry.program)
                elif record.view.number >= view.number:
                    view = record.view
            cut_bytes += cut
            # Only the newest segment can end in what was never synced.
            damaged = damaged or (cut > 0 and number != numbers[-1])
            self._segments.append(segment)
        self._identify(renew=damaged)
        self._start_segment(now)
        return Loaded(entries, view, cut_bytes, damaged)

    def append(self, entries: list[Entry], view: View | None, now: float) -> None:
        """Write records and sync them; blocks until they are durable.

        Raises
        ------
        OSError
            If the disk refuses; nothing of it may then be acknowledged.
        """
        records: list[Record] = [_EntryRecord(entry) for entry in entries]
        if view is not None:
            records.append(_ViewRecord(view))
        data = b"".join(_frame(record) for record in records)
        _write_all(self._file, data)
        os.fdatasync(self._file)
        segment = self._segments[-1]
        segment.programs.update(entry.program for entry in entries)
        segment.size += len(data)
        if segment.size >= SEGMENT_BYTES:
            self._start_segment(now)

    def closed(self) -> list[Segment]:
        """Return the segments that are not written to any more, the oldest first."""
        return self._segments[:-1]

    def oldest(self) -> Segment | None:
        """Return the oldest closed segment."""
        closed = self.closed()
        return closed[0] if closed else None

    def remove_oldest(self) -> None:
        """Remove the oldest segment; its living records were written again before.

        The removal need not be durable: a file that comes back after a power loss holds
        only records that merge without effect.
        """
        segment = self._segments.pop(0)
        os.unlink(self._path(segment.number))

    def close(self) -> None:
        """Close the open file."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _numbers(self) -> list[int]:
        names = os.listdir(self._folder)
        return sorted(
            int(name.removeprefix(SEGMENT_PREFIX))
            for name in names
            if name.startswith(SEGMENT_PREFIX)
        )

    def _path(self, number: int) -> str:
        return os.path.join(self._folder, f"{SEGMENT_PREFIX}{number:08d}")

    def _read(self, number: int) -> tuple[list[Record], int]:
        with open(self._path(number), "rb") as file:
            data = file.read()
        records: list[Record] = []
        position = 0
        while position < len(data):
            record, end = _parse(data, position)
            if record is None:
                break
            records.append(record)
            position = end
        return records, len(data) - position

    def _cut(self, number: int, cut: int) -> None:
        """Cut a torn end off for good, or the next start would take it for damage."""
        file = os.open(self._path(number), os.O_WRONLY)
        os.ftruncate(file, os.fstat(file).st_size - cut)
        os.fsync(file)
        os.close(file)

    def _start_segment(self, now: float) -> None:
        """Open a new segment.

        Appending to a file with a cut end would put good records behind bad ones, so a
        start never goes on with an old file.
        """
        if self._file >= 0:
            os.close(self._file)
        number = self._segments[-1].number + 1 if self._segments else 1
        path = self._path(number)
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        os.fsync(self._file)
        self._segments.append(Segment(number, now))

    def _identify(self, *, renew: bool) -> None:
        """Read the disk's id, or draw one.

        The id is written before the first record, and synced: a folder with records
        but without an id would otherwise pass for an empty disk.
        """
        path = os.path.join(self._folder, IDENTITY)
        if not renew:
            try:
                with open(path, encoding="ascii") as file:
                    self.disk = file.read().strip()
            except (FileNotFoundError, UnicodeDecodeError):
                self.disk = ""
        if len(self.disk) == 2 * DISK_ID_BYTES:
            return
        self.disk = os.urandom(DISK_ID_BYTES).hex()
        with open(path, "w", encoding="ascii") as file:
            file.write(self.disk)
            file.flush()
            os.fsync(file.fileno())
        folder = os.open(self._folder, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)


def _frame(record: Record) -> bytes:
    body = _ENCODER.encode(record)
    return HEADER.pack(len(body), zlib.crc32(body)) + body


def _parse(data: bytes, position: int) -> tuple[Record | None, int]:
    start = position + HEADER.size
    if start > len(data):
        return None, position
    length, checksum = HEADER.unpack_from(data, position)
    end = start + length
    if length > MAX_RECORD_BYTES or end > len(data):
        return None, position
    body = data[start:end]
    if zlib.crc32(body) != checksum:
        return None, position
    try:
        return _DECODER.decode(body), end
    except msgspec.DecodeError:
        return None, position


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]
