"""Closes connections of the stand-ins as a process that crashes does."""

import socket
import struct


def reset_on_close(connection):
    """Lets the close of a socket reset the connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def reset_connection(writer):
    """Closes the connection with a reset. A plain close looks like the end of a stream without a length."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        reset_on_close(connection)
    writer.transport.abort()
