"""Test that log lines are bounded and never block."""

import asyncio
import fcntl
import json
import os

from dandelionpond.entry.log_stream import BURST_LINES, MAX_WAITING_BYTES, LogStream


def on_pipe(test):
    """Run a test with a writer on a pipe whose reader is the test."""

    async def run():
        source, target = os.pipe()
        # The smallest pipe, so that a slow reader is noticed early.
        fcntl.fcntl(target, fcntl.F_SETPIPE_SZ, 4096)
        os.set_blocking(source, False)
        try:
            await test(LogStream(target), source)
        finally:
            asyncio.get_running_loop().remove_writer(target)
            os.close(source)
            os.close(target)

    asyncio.run(run())


def read_all(source):
    parts = []
    try:
        while part := os.read(source, 65536):
            parts.append(part)
    except BlockingIOError:
        pass
    return b"".join(parts)


class TestLineWriter:
    def test_lines_arrive_in_order(self):
        """Guard against lines that are mixed or lost in quiet times."""

        async def test(writer, source):
            for number in range(5):
                writer.write(f"{number}\n")
            assert read_all(source) == b"0\n1\n2\n3\n4\n"
            assert writer.left_out == 0

        on_pipe(test)

    def test_slow_reader_blocks_nothing(self):
        """Guard against a node that stands still because nobody reads its log."""

        async def test(writer, source):
            line = "x" * 1023 + "\n"
            count = 2 * MAX_WAITING_BYTES // len(line)
            for _ in range(count):
                writer.write(line)
            assert writer.left_out > 0
            data = b""
            while part := read_all(source):
                data += part
                await asyncio.sleep(0.01)
            assert data.count(b"\n") == count - writer.left_out
            writer.write("later\n")
            note, last = read_all(source).splitlines()
            assert json.loads(note)["count"] == writer.left_out
            assert last == b"later"

        on_pipe(test)

    def test_lines_a_second_are_bounded(self):
        """Guard against a log that takes the processor time of the requests."""

        async def test(writer, source):
            data = b""
            for number in range(3 * BURST_LINES):
                writer.write("x\n")
                if number % 100 == 0:
                    data += read_all(source)
            data += read_all(source)
            assert BURST_LINES <= data.count(b"x\n") < 2 * BURST_LINES
            assert writer.left_out > BURST_LINES

        on_pipe(test)

    def test_reader_that_is_gone_is_no_error(self):
        """Guard against a process that ends because its log reader ended."""

        async def run():
            source, target = os.pipe()
            writer = LogStream(target)
            os.close(source)
            writer.write("x\n")
            assert writer.left_out == 1
            os.close(target)

        asyncio.run(run())
