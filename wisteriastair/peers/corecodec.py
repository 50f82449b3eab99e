"""Codec of the messages between entries, primaries and gates.

It is separate from the transport, so that processes that use other messages need not
import these.
"""

from __future__ import annotations

from typing import Final

from ..core.wire import Message, decode_message, encode_message
from .transport import Codec

CORE_CODEC: Final[Codec[Message]] = Codec(encode_message, decode_message)
