"""A runner that answers on raw sockets, for responses that an HTTP server would not send."""

import socket
import threading


class RawRunner:
    """Calls `respond(connection, request)` for each request; `request` has its path and headers in lower case.

    A subclass returns False from `respond` to close the connection. With `reads_bodies` False the body of a
    request is left unread.
    """

    reads_bodies = True

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=[connection], daemon=True).start()

    def serve(self, connection):
        with connection, connection.makefile("rb") as stream:
            while line := stream.readline():
                request = {"path": line.split()[1], "headers": {}}
                while header := stream.readline().strip():
                    name, _, value = header.partition(b":")
                    request["headers"].setdefault(name.lower(), value.strip())
                if self.reads_bodies:
                    stream.read(int(request["headers"].get(b"content-length", 0)))
                if not self.respond(connection, request):
                    return
