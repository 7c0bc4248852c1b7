"""A minimal HTTP/1.1 server and client over asyncio for the stand-ins of the platform."""
import asyncio
import json

MAX_HEAD_BYTES = 65536


class NoAnswer(Exception):
    """Raised by a handler to send no response and keep the connection open."""


class ResetConnection(Exception):
    """Raised by a handler to abort the connection."""


async def read_message(reader):
    """Returns first line, headers (names in lower case) and body of a request or response; None at
    the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def serve(host, port, handler, writers=None, muted=()):
    """@handler(method, target, headers, body) returns (status, object or None); @writers: a set to
    which the writers of open connections belong; @muted: those of connections on which no response
    is sent."""
    writers = set() if writers is None else writers

    async def connection(reader, writer):
        writers.add(writer)
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ", 2)
                try:
                    status, answer = await handler(method, target, message[1], message[2])
                    if writer in muted:
                        raise NoAnswer
                except NoAnswer:
                    await asyncio.sleep(60)
                    break
                text = b"" if answer is None else json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                             b"content-length: %d\r\n\r\n%s" % (status, len(text), text))
                await writer.drain()
        except (ResetConnection, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.transport.abort()

    return await asyncio.start_server(connection, host, port, limit=MAX_HEAD_BYTES)


async def wait_for(awaitable, timeout_s):
    """Returns the result of @awaitable; raises TimeoutError after @timeout_s. Unlike
    asyncio.wait_for(), which before Python 3.12 may return if it is cancelled just after
    @awaitable has ended, it never misses a cancellation."""
    task = asyncio.ensure_future(awaitable)
    try:
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
    finally:
        task.cancel()
    if not done:
        raise TimeoutError
    return task.result()


class HttpClient:
    """A client with one persistent connection."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def call(self, method, target, headers, body, timeout):
        """Returns (status, headers, body); raises OSError if the connection breaks, TimeoutError
        after @timeout seconds."""
        if not self.writer:
            self.reader, self.writer = await wait_for(
                asyncio.open_connection(self.host, self.port), timeout)
        text = b"" if body is None else json.dumps(body).encode()
        lines = ["%s %s HTTP/1.1" % (method, target), "content-length: %d" % len(text)]
        lines += ["%s: %s" % pair for pair in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        try:
            message = await wait_for(read_message(self.reader), timeout)
        except TimeoutError:
            self.close()
            raise
        except asyncio.IncompleteReadError:
            message = None
        if message is None:
            self.close()
            raise ConnectionResetError("no answer")
        if message[1].get("connection", "") == "close":
            self.close()
        return int(message[0].split(" ")[1]), message[1], message[2]

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None
