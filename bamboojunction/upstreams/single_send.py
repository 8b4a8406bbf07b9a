"""A middleware that keeps the HTTP client from sending a request twice."""

import aiohttp
from aiohttp.typedefs import Handler


class ConnectionLost(aiohttp.ClientError):
    """Report a connection that closed after the request may have been sent."""


async def send_once(request: aiohttp.ClientRequest, handler: Handler) -> aiohttp.ClientResponse:
    """Turn a lost connection into an error that the client does not retry.

    The client sends GET, PUT and DELETE requests again by itself when the connection closes before
    the answer, also when the first copy took effect.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLost(f"{type(error).__name__}: {error}") from error
