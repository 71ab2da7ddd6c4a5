"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""


class Message:
    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head. Returns None if the connection ends before one begins."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode("latin-1").rstrip("\r\n")
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(line.decode("latin-1").rstrip("\r\n"), headers, b"")


async def read_chunks(reader):
    """Reads a body in chunks. Raises IncompleteReadError if it ends early."""
    body = b""
    while True:
        size_line = await reader.readuntil(b"\r\n")
        size = int(size_line.strip().split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_message(reader):
    """Reads a whole message. Returns None if the connection ends before one begins."""
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.header("transfer-encoding"):
        message.body = await read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(message.header("content-length", "0")))
    return message


async def respond(writer, status, body, headers=()):
    head = "HTTP/1.1 %d x\r\nContent-Length: %d\r\n" % (status, len(body))
    head += "".join("%s: %s\r\n" % header for header in headers)
    writer.write(head.encode("latin-1") + b"\r\n" + body)
    await writer.drain()
