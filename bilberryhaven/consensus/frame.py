"""Frames: length-prefixed, checksummed blocks in sequence in a file."""

import struct
import zlib

from bilberryhaven import errors

__all__ = ['HEADER_BYTES', 'build_frame', 'scan_frames']

_HEADER = struct.Struct('<III')
_HEADER_FIELDS = struct.Struct('<II')
HEADER_BYTES = _HEADER.size
SECTOR_BYTES = 512


def build_frame(payload):
    """Return ``payload`` preceded by a header of length and checksums."""
    fields = _HEADER_FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + struct.pack('<I', zlib.crc32(fields)) + payload


def scan_frames(data, *, path, may_be_torn=False):
    """Yield the (offset, payload) pairs in ``data``.

    Each frame is synced before the next is written, so a crash can tear only
    the last one: it is truncated, or some of its sectors are still zero. Any
    other fault is corruption.

    Args:
        data: Bytes of the file.
        path: Location of the file, for error messages.
        may_be_torn: Whether a torn last frame ends the scan without an
            error.

    Raises:
        DamagedFileError: A frame fails its checksum.
    """
    offset = 0
    while offset < len(data):
        payload = _read_frame(data, offset)
        if payload is None:
            if may_be_torn and _is_torn(data, offset):
                return
            raise errors.DamagedFileError(
                f'{path}: frame at offset {offset} fails its checksum',
                step='read file',
            )
        yield offset, payload
        offset += HEADER_BYTES + len(payload)


def _read_header(data, offset):
    if offset + HEADER_BYTES > len(data):
        return None
    length, crc, header_crc = _HEADER.unpack_from(data, offset)
    fields = data[offset : offset + _HEADER_FIELDS.size]
    return (length, crc) if zlib.crc32(fields) == header_crc else None


def _read_frame(data, offset):
    header = _read_header(data, offset)
    if header is None:
        return None
    length, crc = header
    start = offset + HEADER_BYTES
    payload = bytes(data[start : start + length])
    if len(payload) < length or zlib.crc32(payload) != crc:
        return None
    return payload


def _is_torn(data, offset):
    if offset + HEADER_BYTES > len(data):
        return True
    header = _read_header(data, offset)
    if header is None:
        return _has_zero_sector(data, offset)
    end = offset + HEADER_BYTES + header[0]
    if end > len(data):
        return True
    return end == len(data) and _has_zero_sector(data, offset)


def _has_zero_sector(data, start):
    while start < len(data):
        end = min(start - start % SECTOR_BYTES + SECTOR_BYTES, len(data))
        if not any(data[start:end]):
            return True
        start = end
    return False
