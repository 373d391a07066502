"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins and clients of the review's scripts."""

import asyncio
import socket
import struct


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)


async def read_head(reader):
    """Return the first line and the headers, with lower-case names; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def reset(writer):
    """Close a connection by RST."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Serves requests one at a time on each connection; the handler returns the answer's bytes.

    A handler that returns None has ended the connection itself.
    """

    def __init__(self, handle):
        self.handle, self.writers, self.server = handle, set(), None

    async def start(self, host, port):
        self.server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True, limit=1 << 20
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                work = asyncio.ensure_future(
                    self.handle(Request(method, target, head[1], body), writer)
                )
                # The end of the connection cancels the work on its request.
                watch = asyncio.ensure_future(self._wait_for_end(reader))
                await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    return
                watch.cancel()
                answer = work.result()
                if answer is None or writer.is_closing():
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def _wait_for_end(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)

    def end(self, by_reset):
        """Stop listening and end all connections, as when a process ends."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer) if by_reset else writer.transport.abort()


def render(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Client:
    """One connection for several requests; `note` records those with an attempt identifier."""

    note = staticmethod(lambda text: None)

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port, self.reader, self.writer = int(port), None, None

    async def call(self, method, target, headers, body=b"", timeout_s=3.0):
        """Return status, headers and body; status 0 and the reason if there is no whole answer."""
        attempt = dict(headers).get("X-Attempt-Id", "")
        if attempt:
            self.note(f"sent {attempt} {method} {target} to {self.host}")
        status, fields, data = await self._call(method, target, headers, body, timeout_s)
        if attempt:
            reason = "" if status else f" ({data.decode(errors='replace')})"
            self.note(f"answered {attempt} {status}{reason}")
        return status, fields, data

    async def _call(self, method, target, headers, body, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers]
                if body or method in ("PUT", "POST"):
                    lines.append(f"Content-Length: {len(body)}")
                self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
                head = await read_head(self.reader)
                if head is None:
                    self.close()
                    return 0, {}, b"connection closed without an answer"
                length = int(head[1].get("content-length", "0"))
                data = await self.reader.readexactly(length) if length else b""
                if "close" in head[1].get("connection", ""):
                    self.close()
                return int(head[0].split(" ")[1]), head[1], data
        except TimeoutError:
            self.close()
            return 0, {}, b"no answer in time"
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return 0, {}, repr(error).encode()

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def call_once(address, method, target, headers, body=b"", timeout_s=3.0):
    client = Client(address)
    try:
        return await client.call(method, target, headers, body, timeout_s)
    finally:
        client.close()
