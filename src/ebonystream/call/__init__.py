"""The call aggregate: one caller's request, its deadline and its outcome."""

from ebonystream.call._call import Answer, Call, CallKind, Header, Headers
from ebonystream.call._refusal import refuse

__all__ = ('Answer', 'Call', 'CallKind', 'Header', 'Headers', 'refuse')
