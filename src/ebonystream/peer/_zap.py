"""Authentication of peers: only holders of the shared key pair may connect.

ZeroMQ sends a request for each CURVE client to a fixed in-process address, in
its authentication protocol ZAP 1.0 (ZeroMQ RFC 27).
"""

import hmac

import trio
import zmq

from ebonystream.peer._sockets import receive_parts

ZAP_ENDPOINT = 'inproc://zeromq.zap.01'
ZAP_DOMAIN = b'ebonystream'
ZAP_VERSION = b'1.0'
ZAP_REQUEST_PARTS = 7
MECHANISM = b'CURVE'

ACCEPTED = (b'200', b'OK', b'peer', b'')
DENIED = (b'400', b'unknown key', b'', b'')


async def authenticate_peers(
    authenticator: zmq.Socket[bytes], *, public_key: bytes
) -> None:
    """Respond to authentication requests for clients, without end.

    Args:
        authenticator: REP socket bound to `ZAP_ENDPOINT`.
        public_key: The only public key that may connect, 32 bytes.
    """
    while True:
        request = await receive_parts(authenticator)
        verdict = check_client(request, public_key=public_key)
        request_id = request[1] if len(request) > 1 else b''
        authenticator.send_multipart((ZAP_VERSION, request_id, *verdict))
        await trio.lowlevel.checkpoint()


def check_client(
    request: list[bytes], *, public_key: bytes
) -> tuple[bytes, ...]:
    """Return the last four parts of the ZAP response for one client.

    Args:
        request: Parts of the ZAP request.
        public_key: The only public key that may connect, 32 bytes.
    """
    if len(request) != ZAP_REQUEST_PARTS:
        return DENIED
    domain, mechanism, credentials = request[2], request[5], request[6]
    if domain != ZAP_DOMAIN or mechanism != MECHANISM:
        return DENIED
    if hmac.compare_digest(credentials, public_key):
        return ACCEPTED
    return DENIED
