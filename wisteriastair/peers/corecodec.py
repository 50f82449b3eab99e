"""How messages between entries, carriers and gates are written.

Apart from the transport, since processes that speak other messages start without them.
"""

from __future__ import annotations

from typing import Final

from ..core.wire import Message, decode_message, encode_message
from .transport import Codec

CORE_CODEC: Final[Codec[Message]] = Codec(encode_message, decode_message)
