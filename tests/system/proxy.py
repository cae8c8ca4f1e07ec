"""A TCP proxy on loopback that can delay, block or reset the connections that it forwards."""

import asyncio
import threading

from connection_reset import reset_connection


class Proxy:
    """Forwards connections to a target.

    `fault` is None or one of "refuse" (resets new and open connections), "silent" (forwards nothing in
    either direction), "deaf" (forwards nothing to the target) and "mute" (forwards nothing from the
    target). `delay` in seconds is added before each chunk is forwarded.
    """

    def __init__(self, target_port, target_ip="127.0.0.1"):
        self.target = (target_ip, target_port)
        self.fault = None
        self.delay = 0.0
        self.bytes_to_target = 0
        self.writers = set()
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.port = asyncio.run_coroutine_threadsafe(self._start(), self.loop).result(10)

    async def _start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    def close(self):
        """Resets all connections and stops listening, like a process that crashes."""
        self.loop.call_soon_threadsafe(self.server.close)
        self.loop.call_soon_threadsafe(self._reset)

    def reopen(self):
        """Listens on the same port again."""
        asyncio.run_coroutine_threadsafe(self._start(self.port), self.loop).result(10)

    def disturb(self, fault):
        """Sets the fault; "refuse" also resets the open connections."""
        self.fault = fault
        if fault == "refuse":
            self.loop.call_soon_threadsafe(self._reset)

    def _reset(self):
        for writer in self.writers:
            reset_connection(writer)

    async def _serve(self, reader, writer):
        if self.fault == "refuse":
            reset_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset_connection(writer)
            return
        pair = {writer, target_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, ("silent", "deaf"), True),
                self._forward(target_reader, writer, ("silent", "mute"), False),
            )
        except OSError:
            # One side reset its connection.
            for end in pair:
                reset_connection(end)
        finally:
            self.writers -= pair
            for end in pair:
                end.transport.abort()

    async def _forward(self, reader, writer, blocked_by, to_target):
        while chunk := await reader.read(65536):
            if self.delay:
                await asyncio.sleep(self.delay)
            while self.fault in blocked_by:
                await asyncio.sleep(0.02)
            if to_target:
                self.bytes_to_target += len(chunk)
            writer.write(chunk)
            await writer.drain()
        writer.close()
