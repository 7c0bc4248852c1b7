"""A loopback proxy in front of one address that delays, holds back or resets connections."""
import asyncio

CHUNK = 65536


class Proxy:
    """@mode: "ok", "delay", "silent" (forwards nothing), "one_way" (forwards no replies) or
    "refuse" (resets new connections)."""

    def __init__(self, host, port, target):
        self.host, self.port, self.target = host, port, target
        self.mode = "ok"
        self.writers, self.muted = set(), set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.connection, self.host, self.port)

    async def close(self):
        self.server.close()
        self.reset()
        self.muted.clear()
        await asyncio.sleep(0.05)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def mute_open(self):
        """Forwards nothing more on the connections that are open, and doesn't close them."""
        self.muted |= self.writers

    async def connection(self, reader, writer):
        try:
            if self.mode == "refuse":
                raise OSError
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        forwarders = [asyncio.ensure_future(self.forward(reader, target_writer, False)),
                 asyncio.ensure_future(self.forward(target_reader, writer, True))]
        await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        for forward in forwarders:
            forward.cancel()
        self.writers -= {writer, target_writer}
        self.muted -= {writer, target_writer}
        writer.transport.abort()
        target_writer.transport.abort()

    async def forward(self, reader, writer, is_response):
        try:
            while data := await reader.read(CHUNK):
                while self.mode == "silent" or (self.mode == "one_way" and is_response) \
                        or writer in self.muted:
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.03)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
