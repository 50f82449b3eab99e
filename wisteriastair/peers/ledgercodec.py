"""How relays and keepers talk about the ledger."""

from __future__ import annotations

from typing import Final

from ..core.ledgerwire import LedgerMessage, decode_ledger, encode_ledger
from .transport import AckTimeouts, Codec

LEDGER_CODEC: Final[Codec[LedgerMessage]] = Codec(encode_ledger, decode_ledger)
LEDGER_DEPLOYMENT: Final = "ledger"
# A turn waits for two of these messages, so they gather only while the loop is busy.
LEDGER_BATCH_DELAY_S: Final = 0.0
# After a cut a relay must find its way back to the keepers within three seconds, when
# it is expected to serve again, so no attempt waits longer than the one before.
LEDGER_ACK_TIMEOUTS: Final = AckTimeouts(echo_s=0.25, silence_s=0.8, silence_max_s=0.8)
