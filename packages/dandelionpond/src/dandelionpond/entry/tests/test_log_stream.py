"""Test that the log stream limits lines and never blocks."""

import asyncio
import fcntl
import json
import os

from dandelionpond.entry.log_stream import BURST_LINES, MAX_QUEUED_BYTES, LogStream


def run_on_pipe(test):
    """Run a test with a log stream on a pipe and the read end of the pipe."""

    async def run():
        read_end, write_end = os.pipe()
        # The smallest pipe buffer, so that it fills up early.
        fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
        os.set_blocking(read_end, False)
        try:
            await test(LogStream(write_end), read_end)
        finally:
            asyncio.get_running_loop().remove_writer(write_end)
            os.close(read_end)
            os.close(write_end)

    asyncio.run(run())


def read_all(read_end):
    parts = []
    try:
        while part := os.read(read_end, 65536):
            parts.append(part)
    except BlockingIOError:
        pass
    return b"".join(parts)


class TestLogStream:
    def test_lines_arrive_in_order(self):
        """Lines must arrive complete and in order at a low rate."""

        async def test(stream, read_end):
            for number in range(5):
                stream.write(f"{number}\n")
            assert read_all(read_end) == b"0\n1\n2\n3\n4\n"
            assert stream.dropped_lines == 0

        run_on_pipe(test)

    def test_slow_reader_does_not_block(self):
        """A node must not hang if nobody reads its log.

        Lines beyond the queue are dropped, and a note with their number comes before
        the next line.
        """

        async def test(stream, read_end):
            line = "x" * 1023 + "\n"
            count = 2 * MAX_QUEUED_BYTES // len(line)
            for _ in range(count):
                stream.write(line)
            assert stream.dropped_lines > 0
            data = b""
            while part := read_all(read_end):
                data += part
                await asyncio.sleep(0.01)
            assert data.count(b"\n") == count - stream.dropped_lines
            stream.write("later\n")
            note, last = read_all(read_end).splitlines()
            assert json.loads(note)["count"] == stream.dropped_lines
            assert last == b"later"

        run_on_pipe(test)

    def test_line_rate_is_limited(self):
        """Logging must not take CPU time from requests: excess lines are dropped."""

        async def test(stream, read_end):
            data = b""
            for number in range(3 * BURST_LINES):
                stream.write("x\n")
                if number % 100 == 0:
                    data += read_all(read_end)
            data += read_all(read_end)
            assert BURST_LINES <= data.count(b"x\n") < 2 * BURST_LINES
            assert stream.dropped_lines > BURST_LINES

        run_on_pipe(test)

    def test_closed_reader_is_no_error(self):
        """A node must not exit because the reader of its log has exited."""

        async def run():
            read_end, write_end = os.pipe()
            stream = LogStream(write_end)
            os.close(read_end)
            stream.write("x\n")
            assert stream.dropped_lines == 1
            os.close(write_end)

        asyncio.run(run())
