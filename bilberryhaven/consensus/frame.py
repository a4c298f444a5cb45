"""Frames: checksummed blocks of bytes, one after the other in a file."""

import struct
import zlib

from bilberryhaven import errors

__all__ = ['HEADER_BYTES', 'build_frame', 'scan_frames']

_HEADER = struct.Struct('<III')
_HEADER_FIELDS = struct.Struct('<II')
HEADER_BYTES = _HEADER.size
SECTOR_BYTES = 512


def build_frame(payload):
    """Return ``payload`` behind a header with its length and checksums."""
    fields = _HEADER_FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + struct.pack('<I', zlib.crc32(fields)) + payload


def scan_frames(data, *, path, may_be_torn=False):
    """Yield the (offset, payload) pairs in ``data``.

    Each frame is synced before the next is written. So only the last can be
    torn by a crash: it is cut short, or sectors of it are still zero. Any
    other fault is damage.

    Args:
        data: Bytes of the file.
        path: Where it is, for errors.
        may_be_torn: Whether to end silently before a torn last frame.

    Raises:
        DamagedFileError: A frame fails its check.
    """
    offset = 0
    while offset < len(data):
        payload = _read_frame(data, offset)
        if payload is None:
            if may_be_torn and _is_torn(data, offset):
                return
            raise errors.DamagedFileError(
                f'{path}: bytes at offset {offset} fail their check',
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
