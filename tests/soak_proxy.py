"""A loopback proxy in front of one address: delays, resets, silences, cuts one way."""
import asyncio

CHUNK = 65536


class Proxy:
    """@mode: "ok", "delay", "silent" (nothing passes), "one_way" (nothing comes back) or "refuse"."""

    def __init__(self, host, port, target):
        self.host, self.port, self.target = host, port, target
        self.mode = "ok"
        self.writers = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.connection, self.host, self.port)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        try:
            if self.mode == "refuse":
                raise OSError
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        pumps = [asyncio.ensure_future(self.pump(reader, far_writer, False)),
                 asyncio.ensure_future(self.pump(far_reader, writer, True))]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        self.writers -= {writer, far_writer}
        writer.transport.abort()
        far_writer.transport.abort()

    async def pump(self, reader, writer, is_back):
        try:
            while data := await reader.read(CHUNK):
                while self.mode == "silent" or (self.mode == "one_way" and is_back):
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.03)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
