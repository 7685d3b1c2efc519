"""Test whether a process still listens at an upstream's address."""

import asyncio
import ipaddress
import socket

# Timeout in seconds for the refusal of a connection, which takes one round trip. The
# next attempt of a request waits for it.
REFUSAL_TIMEOUT_S = 0.15
# Delay in seconds before an upstream that accepted a connection is tested again. The
# kernel may close the connections of a process that exits before the socket at which
# it listens.
REPEAT_DELAY_S = 0.1


async def refuses_connections(host: str, port: int, repeats: bool = True) -> bool:
    """Return whether no process listens at an upstream's address any more.

    A host that does not respond may only be cut off, and is not reported. An upstream
    that accepts a connection is tested once more if `repeats`.
    """
    accepts = await _accepts_connection(host, port)
    if accepts and repeats:
        await asyncio.sleep(REPEAT_DELAY_S)
        accepts = await _accepts_connection(host, port)
    return accepts is False


async def _accepts_connection(host: str, port: int) -> bool | None:
    """Return whether a connection is accepted or refused; None if neither.

    A host with several addresses refuses if none accepts and at least one refuses: the
    machine may lack IPv6.
    """
    accepts = None
    try:
        async with asyncio.timeout(REFUSAL_TIMEOUT_S):
            for address in await _resolve(host):
                try:
                    _, writer = await asyncio.open_connection(address, port)
                except ConnectionError:
                    accepts = False
                except OSError:
                    pass
                else:
                    writer.transport.abort()
                    return True
    except (OSError, TimeoutError):
        return None
    return accepts


async def _resolve(host: str) -> list[str]:
    """Return the addresses of a host; an address needs no thread of the resolver."""
    try:
        return [str(ipaddress.ip_address(host))]
    except ValueError:
        loop = asyncio.get_running_loop()
        infos = await loop.getaddrinfo(host, None, type=socket.SOCK_STREAM)
        return [str(address[0]) for *_, address in infos]
