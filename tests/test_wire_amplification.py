"""Tests of small messages that would become large once they are decoded."""

import struct

import testtools

from bilberryhaven import errors
from bilberryhaven.wire import codec
from bilberryhaven.wire import message

WORD = 8
# A pointer to a list of structs, which begins with a word on its elements.
STRUCT_LIST = 7
LIST_POINTER = 1
OFFSET_MASK = (1 << 30) - 1


def read_words(data):
    return list(struct.unpack(f'<{len(data) // WORD}Q', data))


def declare_elements(data, count):
    """Let the only list of structs declare ``count`` elements of no size."""
    words = read_words(data)
    for index, word in enumerate(words[1:], 1):
        if word & 3 == LIST_POINTER and word >> 32 & 7 == STRUCT_LIST:
            target = index + 1 + (word >> 2 & OFFSET_MASK)
            words[index] = word & 0xFFFFFFFF | STRUCT_LIST << 32
            words[target] = count << 2
            return struct.pack(f'<{len(words)}Q', *words)
    raise AssertionError('no list of structs')


class AmplificationTest(testtools.TestCase):
    # Guards against a few hundred bytes that occupy all memory once decoded.
    def test_elements_without_a_size(self):
        heartbeat = message.Heartbeat(
            instance='a',
            epoch=1,
            running=[message.RunningJob(job_id='', epoch=0)],
        )
        data = declare_elements(codec.encode(heartbeat), 100_000)
        self.assertTrue(len(data) < 1024)
        try:
            decoded = len(codec.decode(data).running)
        except errors.BadInputError:
            decoded = 0
        self.assertTrue(decoded < 1_000, decoded)

    # Guards against a limit that keeps ordinary messages out.
    def test_large_messages_are_decoded(self):
        for count in (0, 1, 100, 20_000):
            heartbeat = message.Heartbeat(
                instance='a',
                epoch=1,
                running=[
                    message.RunningJob(job_id=str(number), epoch=number)
                    for number in range(count)
                ],
            )
            data = codec.encode(heartbeat)
            self.assertEqual(heartbeat, codec.decode(data))
