"""HTTP/1.1 over asyncio streams: as much as the protocol of the project needs, with the standard library alone."""

import asyncio
import json

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_head(reader):
    """Returns the first line and the headers of a message, or None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a message, or None if the connection ended."""
    length = int(headers.get("content-length", "0"))
    try:
        return await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def response_bytes(status, body):
    """Returns the bytes of a response with a JSON body."""
    text = json.dumps(body, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n" \
           f"Content-Length: {len(text)}\r\n\r\n"
    return head.encode() + text


async def serve(handler, host="127.0.0.1", port=0):
    """Starts a server. `handler(method, path, body)` returns (status, body), or None for no response at all: the
    connection is then closed. Returns the port and the server."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                raw = await read_body(reader, headers)
                if raw is None:
                    break
                method, path, _ = line.split(" ", 2)
                answer = await handler(method, path, raw)
                if answer is None:
                    break
                writer.write(response_bytes(*answer))
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=4 * 1024 * 1024, backlog=1024)
    return server.sockets[0].getsockname()[1], server


class Client:
    """HTTP client of one server that keeps its connection open. One request at a time."""

    def __init__(self, port, host="127.0.0.1"):
        self.host, self.port = host, port
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, body), or None if there was no response within `timeout` seconds or the connection
        failed. The body is the parsed JSON, or None if it is no JSON."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout)
        except (asyncio.TimeoutError, ConnectionError, OSError):
            self.close()
            return None

    async def _request(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=4 * 1024 * 1024)
        raw = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\nContent-Type: application/json\r\n" \
               f"Content-Length: {len(raw)}\r\n\r\n"
        self.writer.write(head.encode() + raw)
        await self.writer.drain()
        answer = await read_head(self.reader)
        if answer is None:
            raise ConnectionError("the connection ended before the response")
        line, headers = answer
        raw = await read_body(self.reader, headers)
        if raw is None:
            raise ConnectionError("the connection ended inside the response")
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            parsed = json.loads(raw) if raw else None
        except ValueError:
            parsed = None
        return int(line.split(" ")[1]), parsed
