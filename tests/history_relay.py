"""TCP relays between processes; their connections can be closed or stalled."""
import asyncio
import re
import threading

NAME = re.compile(rb"(?:entry|worker)-\d+")
CHUNK = 65536


class Connection:
    def __init__(self, relay, reader, writer):
        self.relay, self.reader, self.writer = relay, reader, writer
        self.source = None
        self.tasks = []

    async def run(self):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.relay.port)
        except OSError:
            self.writer.transport.abort()
            return
        self.upstream = upstream_writer
        self.tasks = [asyncio.ensure_future(self.forward(self.reader, upstream_writer, True)),
                      asyncio.ensure_future(self.forward(upstream_reader, self.writer, False))]
        await asyncio.wait(self.tasks, return_when=asyncio.FIRST_COMPLETED)
        self.abort()

    def abort(self):
        for task in self.tasks:
            task.cancel()
        self.writer.transport.abort()
        if self.tasks:
            self.upstream.transport.abort()

    async def forward(self, reader, writer, is_outgoing):
        try:
            while data := await reader.read(CHUNK):
                # The first message on a connection carries the sender's instance name.
                if is_outgoing and not self.source:
                    found = NAME.search(data)
                    self.source = found.group().decode() if found else None
                while self.relay.network.cut_mode(self.source, self.relay.name) == "stall":
                    await asyncio.sleep(0.02)
                if self.relay.network.cut_mode(self.source, self.relay.name) == "close":
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass


class Relay:
    """Listens on a free port and forwards to @port of the process @name."""

    def __init__(self, network, name, port):
        self.network, self.name, self.port = network, name, port
        self.connections = set()

    async def open(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)


class Network:
    """Runs all relays on an event loop in a thread. A cut is a set of names and a mode, "close" or
    "stall": {"entry-0"} isolates an entry, {"entry-0", "worker-1"} separates two processes."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.relays = []
        self.cuts = []
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def add(self, name, port):
        relay = Relay(self, name, port)
        self.relays.append(relay)
        return self.call(relay.open())

    def cut_mode(self, source, name):
        for names, mode in self.cuts:
            if names <= {source, name} or (len(names) == 1 and names & {source, name}):
                return mode
        return None

    async def apply(self, names, mode, is_cut):
        if not is_cut:
            self.cuts.remove((names, mode))
        else:
            self.cuts.append((names, mode))
        # A "close" cut aborts connections when it begins. A "stall" cut aborts them when it ends,
        # so that bytes held back during the cut are lost.
        for relay in self.relays:
            for connection in list(relay.connections):
                if (mode == "close") == is_cut and \
                        self.affects(names, connection.source, relay.name):
                    connection.abort()

    @staticmethod
    def affects(names, source, name):
        return names <= {source, name}

    def cut(self, names, mode):
        self.call(self.apply(frozenset(names), mode, True))

    def heal(self, names, mode):
        self.call(self.apply(frozenset(names), mode, False))
