"""Log of the ledger on disk.

Records are appended to segment files.  A record is its length, a checksum and its
bytes; it is durable once the file has been synced.  After a power loss the unsynced end
of the newest segment may be missing or torn: reading stops at the first record whose
checksum does not match, and the rest is truncated, since none of it was acknowledged.

Space is reclaimed by segments: when the oldest segment is past the longest retention,
live accounts with records in it are written again, complete, to the newest segment, and
the old file is removed.  No pause grows with the size of the ledger.

A damaged record that is not at the end of the newest segment had been acknowledged.
The folder then gets a new disk id, so that the instance copies everything from the
other replicas before it counts as a replica.
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
IDENTITY_FILE: Final = "identity"
SEGMENT_FILE_PREFIX: Final = "ledger-"
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

    def __init__(self, number: int, opened_at: float) -> None:
        self.number = number
        self.opened_at = opened_at
        self.size = 0
        self.programs: set[str] = set()


class LoadedLog(NamedTuple):
    """Content of a folder at the start.

    Attributes
    ----------
    cut_bytes : int
        Total bytes after the last valid record of each segment.
    damaged : bool
        Whether an acknowledged record was damaged.
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
        Data folder; created if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self.disk_id = ""
        self._folder = folder
        self._segments: list[Segment] = []
        self._fd = -1

    def load(self, now: float) -> LoadedLog:
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
        numbers = self._segment_numbers()
        for number in numbers:
            segment = Segment(number, now)
            records, tail_bytes = self._read_segment(number)
            if tail_bytes > 0 and number == numbers[-1]:
                self._truncate(number, tail_bytes)
            for record in records:
                if isinstance(record, _EntryRecord):
                    entries.append(record.entry)
                    segment.programs.add(record.entry.program)
                elif record.view.number >= view.number:
                    view = record.view
            cut_bytes += tail_bytes
            # Only the newest segment can end in records that were never synced.
            damaged = damaged or (tail_bytes > 0 and number != numbers[-1])
            self._segments.append(segment)
        self._load_disk_id(renew=damaged)
        self._start_segment(now)
        return LoadedLog(entries, view, cut_bytes, damaged)

    def append(self, entries: list[Entry], view: View | None, now: float) -> None:
        """Write records and sync them; blocks until they are durable.

        Raises
        ------
        OSError
            If writing fails; none of the records may then be acknowledged.
        """
        records: list[Record] = [_EntryRecord(entry) for entry in entries]
        if view is not None:
            records.append(_ViewRecord(view))
        data = b"".join(_encode_record(record) for record in records)
        _write_all(self._fd, data)
        os.fdatasync(self._fd)
        segment = self._segments[-1]
        segment.programs.update(entry.program for entry in entries)
        segment.size += len(data)
        if segment.size >= SEGMENT_BYTES:
            self._start_segment(now)

    def closed_segments(self) -> list[Segment]:
        """Return the segments that are no longer appended to, oldest first."""
        return self._segments[:-1]

    def oldest_segment(self) -> Segment | None:
        """Return the oldest closed segment."""
        closed_segments = self.closed_segments()
        return closed_segments[0] if closed_segments else None

    def remove_oldest(self) -> None:
        """Remove the oldest segment, whose live records must have been written again.

        The removal need not be durable: a file that reappears after a power loss holds
        only records whose merge has no effect.
        """
        segment = self._segments.pop(0)
        os.unlink(self._path(segment.number))

    def close(self) -> None:
        """Close the open file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _segment_numbers(self) -> list[int]:
        names = os.listdir(self._folder)
        return sorted(
            int(name.removeprefix(SEGMENT_FILE_PREFIX))
            for name in names
            if name.startswith(SEGMENT_FILE_PREFIX)
        )

    def _path(self, number: int) -> str:
        return os.path.join(self._folder, f"{SEGMENT_FILE_PREFIX}{number:08d}")

    def _read_segment(self, number: int) -> tuple[list[Record], int]:
        with open(self._path(number), "rb") as file:
            data = file.read()
        records: list[Record] = []
        position = 0
        while position < len(data):
            record, end = _decode_record(data, position)
            if record is None:
                break
            records.append(record)
            position = end
        return records, len(data) - position

    def _truncate(self, number: int, tail_bytes: int) -> None:
        """Truncate a torn end, which the next start would otherwise count as damage."""
        fd = os.open(self._path(number), os.O_WRONLY)
        os.ftruncate(fd, os.fstat(fd).st_size - tail_bytes)
        os.fsync(fd)
        os.close(fd)

    def _start_segment(self, now: float) -> None:
        """Open a new segment.

        Records appended to a file with a torn end would follow an invalid one and would
        not be read, so a start never appends to an existing file.
        """
        if self._fd >= 0:
            os.close(self._fd)
        number = self._segments[-1].number + 1 if self._segments else 1
        path = self._path(number)
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        os.fsync(self._fd)
        self._segments.append(Segment(number, now))

    def _load_disk_id(self, *, renew: bool) -> None:
        """Read the id of the disk, or generate one.

        The id is written and synced before the first record: a folder with records but
        no id would otherwise count as an empty disk.
        """
        path = os.path.join(self._folder, IDENTITY_FILE)
        if not renew:
            try:
                with open(path, encoding="ascii") as file:
                    self.disk_id = file.read().strip()
            except (FileNotFoundError, UnicodeDecodeError):
                self.disk_id = ""
        if len(self.disk_id) == 2 * DISK_ID_BYTES:
            return
        self.disk_id = os.urandom(DISK_ID_BYTES).hex()
        with open(path, "w", encoding="ascii") as file:
            file.write(self.disk_id)
            file.flush()
            os.fsync(file.fileno())
        folder_fd = os.open(self._folder, os.O_RDONLY)
        os.fsync(folder_fd)
        os.close(folder_fd)


def _encode_record(record: Record) -> bytes:
    body = _ENCODER.encode(record)
    return HEADER.pack(len(body), zlib.crc32(body)) + body


def _decode_record(data: bytes, position: int) -> tuple[Record | None, int]:
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


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
