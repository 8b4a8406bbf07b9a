"""An aiohttp client middleware that disables automatic retries."""

import aiohttp
from aiohttp.typedefs import Handler


class ConnectionLost(aiohttp.ClientError):
    """The connection closed after the request may have been sent."""


async def disable_retries(
    request: aiohttp.ClientRequest, handler: Handler
) -> aiohttp.ClientResponse:
    """Convert a lost connection into an error that aiohttp does not retry.

    aiohttp resends GET, PUT and DELETE requests when the connection closes before the response,
    even if the first copy took effect.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLost(f"{type(error).__name__}: {error}") from error
