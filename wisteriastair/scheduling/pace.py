"""Pace of backend servers: how fast each one works, learned from its responses.

Load pattern: a quarter of the servers run at 0.46 of the speed of the others, and every
machine is 2.5 times slower for 15% of the time, in disturbances of about 600 ms. A
relay sees a server a few times per minute. It must tell a slow server from a disturbed
one, and must not keep a wrong estimate that it never checks again.

The sample of a stream is the median gap between its events, corrected for the figure
that the server reported and for the number of requests that it ran. The estimate of a
server is the median of its last samples, pulled towards the pace of the service while
there are few or old samples. For a plain service a response counts as one token.

A server can also stop responding without closing its connections. Such a server has
requests in flight that have been silent for several times the usual time to the first
event, or had one that ended this way.
"""

from __future__ import annotations

import math
from collections import deque
from statistics import median, median_low
from typing import Final

# Samples per server. The median of seven tolerates three samples from disturbances,
# which have a probability of 2% at 15% of the time.
SERVER_SAMPLES: Final = 7
# Samples per service, from all its servers: a few seconds of one relay's streams.
SERVICE_SAMPLES: Final = 31
# Weight of the service's pace in the estimate of a server, in samples.
PRIOR_SAMPLES: Final = 1.0
# Samples lose half of their weight in this time in seconds. After a few minutes without
# requests a server that was slow is tried again.
SAMPLE_HALF_LIFE_S: Final = 60.0
# Age in seconds at which a report has half of its weight. The number of running
# requests changes within a turn, some 300 ms, and if the weight lasts as long, several
# relays follow one report.
REPORT_HALF_WEIGHT_S: Final = 0.05
# Bounds of the correction by a reported figure, relative to the server's usual figure.
# Disturbances slow a machine by 2.5; a machine is not much faster than usual.
MIN_CORRECTION: Final = 0.8
MAX_CORRECTION: Final = 4.0
# Reported figure of a machine that works as usual.
USUAL_FIGURE: Final = 100.0
# Weight of a new report in the usual number of requests from other relays.
OTHERS_WEIGHT: Final = 0.2
# Bound of the capacity of a server, and of its inverse, as other relays state it.
MAX_WEIGHT: Final = 20.0
# Relative slowdown of decoding per further request that runs at the same server.
BATCH_SLOWDOWN: Final = 0.05
# Assumed slowdown of a server that is still warming up.
COLD_FACTOR: Final = 2.0
# Milliseconds per token and until the first event before the first complete stream.
DEFAULT_TOKEN_MS: Final = 1.0
DEFAULT_PROMPT_TOKEN_MS: Final = 1 / 300
DEFAULT_FIRST_EVENT_MS: Final = 100.0
# Bounds of the milliseconds per prompt token of one sample.
MIN_PROMPT_TOKEN_MS: Final = 0.0005
MAX_PROMPT_TOKEN_MS: Final = 0.05
# Streams with fewer missing prompt tokens say nothing about the time per prompt token.
MIN_PROMPT_SAMPLE_TOKENS: Final = 2_000
# Quantile of the samples of milliseconds per prompt token. Many samples are too low, as
# another relay may have had the prompt computed before.
PROMPT_QUANTILE: Final = 0.75
# Gaps that are stored per stream.
MAX_GAPS: Final = 64
# A request is silent after this multiple of the usual time to the first event, and
# within these bounds in milliseconds. Callers give up after 2 s, so the upper bound
# leaves them time for a second attempt.
SILENCE_FACTOR: Final = 5.0
MIN_SILENCE_MS: Final = 250.0
MAX_SILENCE_MS: Final = 1_000.0
# Time in seconds without new requests after one has ended in silence; doubled each time
# up to the maximum. Afterwards a single request probes the server.
SILENCE_BACKOFF_S: Final = 1.0
MAX_SILENCE_BACKOFF_S: Final = 8.0
MS_PER_S: Final = 1000.0


class AttemptTimer:
    """Times of one request at one server.

    Attributes
    ----------
    started_at, last_at : float
        Times of the request and of the last sign of progress.
    first_event_ms : float
        Milliseconds until the first event; 0 if there was none.
    running : float
        Requests at the server when the response began.
    correction : float
        Slowness of the machine when the response began, relative to its usual one.
    event_count : int
        Events received.
    is_paused : bool
        Whether nothing is expected from the server: the caller reads too slowly, or the
        response is complete.
    """

    __slots__ = (
        "started_at",
        "last_at",
        "first_event_ms",
        "running",
        "correction",
        "event_count",
        "is_paused",
        "_skips_gap",
        "gaps_ms",
    )

    def __init__(self, started_at: float, running: float) -> None:
        self.started_at = started_at
        self.last_at = started_at
        self.first_event_ms = 0.0
        self.running = running
        self.correction = 1.0
        self.event_count = 0
        self.is_paused = False
        self._skips_gap = False
        self.gaps_ms: list[float] = []

    def record_events(self, count: int, now: float) -> None:
        """Record events that arrived together."""
        self.event_count += count
        if not self.first_event_ms:
            self.first_event_ms = (now - self.started_at) * MS_PER_S
        elif not (self.is_paused or self._skips_gap) and len(self.gaps_ms) < MAX_GAPS:
            self.gaps_ms.append((now - self.last_at) * MS_PER_S / count)
        self._skips_gap = False
        self.last_at = now

    def resume(self, now: float) -> None:
        """Record that the caller reads again.

        The gap until the next event does not count: the event may have been ready.
        """
        self.is_paused = False
        self._skips_gap = True
        self.last_at = now


class ServicePace:
    """Usual pace of a service's servers, from the requests of this process.

    Attributes
    ----------
    is_paced : bool
        Whether a server of the service has reported how long work takes there.
    token_ms : float
        Milliseconds per generated token of a stream that runs alone; for a plain
        service, per response.
    prompt_token_ms : float
        Milliseconds per prompt token.
    first_event_ms : float
        Milliseconds until the first event, waits included.
    duration_ms : float
        Milliseconds of a whole response.
    output_tokens : float
        Generated tokens of a response; 1 for a plain service.
    others : float
        Usual number of requests at a server from other relays.
    """

    def __init__(self) -> None:
        self.is_paced = False
        self.token_ms = DEFAULT_TOKEN_MS
        self.prompt_token_ms = DEFAULT_PROMPT_TOKEN_MS
        self.first_event_ms = DEFAULT_FIRST_EVENT_MS
        self.duration_ms = 0.0
        self.output_tokens = 1.0
        self.others = 0.0
        self._token_samples: deque[float] = deque(maxlen=SERVICE_SAMPLES)
        self._prompt_samples: deque[float] = deque(maxlen=SERVICE_SAMPLES)
        self._first_events: deque[float] = deque(maxlen=SERVICE_SAMPLES)
        self._durations: deque[float] = deque(maxlen=SERVICE_SAMPLES)
        self._outputs: deque[float] = deque(maxlen=SERVICE_SAMPLES)

    def record_token_ms(self, sample: float) -> None:
        """Record the milliseconds per token of one response."""
        self._token_samples.append(sample)
        self.token_ms = median(self._token_samples)

    def record_response(
        self, first_event_ms: float, duration_ms: float, output_tokens: float
    ) -> None:
        """Record a complete response."""
        self._first_events.append(first_event_ms)
        self.first_event_ms = median(self._first_events)
        self._durations.append(duration_ms)
        self.duration_ms = median(self._durations)
        self._outputs.append(output_tokens)
        self.output_tokens = median(self._outputs)

    def record_prompt(self, milliseconds: float, missing_tokens: float) -> None:
        """Record the time until the first event of a prompt that was not cached.

        Parameters
        ----------
        milliseconds : float
            Time without the decoding of the event.
        missing_tokens : float
            Tokens that this process has not sent to the server before.
        """
        if missing_tokens < MIN_PROMPT_SAMPLE_TOKENS:
            return
        sample = milliseconds / missing_tokens
        self._prompt_samples.append(
            min(MAX_PROMPT_TOKEN_MS, max(MIN_PROMPT_TOKEN_MS, sample))
        )
        ordered = sorted(self._prompt_samples)
        self.prompt_token_ms = ordered[int(PROMPT_QUANTILE * (len(ordered) - 1))]

    def record_others(self, others: float) -> None:
        """Record the requests from other relays in a report of any server."""
        self.others += OTHERS_WEIGHT * (others - self.others)


class ServerPace:
    """Pace of one incarnation of a server.

    Attributes
    ----------
    token_ms : float
        Estimated milliseconds per generated token of a request that runs alone; 0 until
        the first `refresh`. The time per prompt token is in the same proportion to that
        of the service.
    report_at : float
        Time of the last report.
    usual_others, others_excess : float
        Average number of requests from other relays, and by how much the last report
        exceeded it.
    figure_excess : float
        By how much the last reported figure exceeded the server's usual one, as a
        fraction.
    attempts : dict of int to AttemptTimer
        Requests of this process in flight.
    silent_until : float
        Time until which the server gets no requests because one ended in silence.
    silent_ends : int
        Requests that ended in silence since the last sign of progress.
    is_suspect : bool
        Whether other relays also observe failures or silence.
    check_at : float
        Time before which `is_avoided` is false.
    predicted_ms : float
        Predicted milliseconds of the request that was last sent here; for the log.
    """

    def __init__(self) -> None:
        self.token_ms = 0.0
        self.report_at = float("-inf")
        self.usual_others = 0.0
        self.others_excess = 0.0
        self.figure_excess = 0.0
        self.attempts: dict[int, AttemptTimer] = {}
        self.silent_until = float("-inf")
        self.silent_ends = 0
        self.is_suspect = False
        self.check_at = float("inf")
        self.predicted_ms = 0.0
        self.silence_ms = SILENCE_FACTOR * DEFAULT_FIRST_EVENT_MS
        self._has_report = False
        self._cold_until: float | None = None
        self._progress_at = float("-inf")
        self._weight = 1.0
        self._sampled_at = float("-inf")
        self._samples: deque[float] = deque(maxlen=SERVER_SAMPLES)
        self._figures: deque[float] = deque([USUAL_FIGURE], maxlen=SERVER_SAMPLES)

    # Estimates

    @property
    def sampled_ms(self) -> float:
        """Median of the own samples of `token_ms`; 0 if there are none."""
        return median(self._samples) if self._samples else 0.0

    def refresh(
        self, service: ServicePace, now: float, weight: float, warmup_s: float
    ) -> None:
        """Compute the estimates again; samples age, and the service's pace changes.

        Parameters
        ----------
        weight : float
            Capacity of the server relative to the others, as all relays know it.
        warmup_s : float
            Seconds for which the server is slow after its start.
        """
        if self._cold_until is None:
            self._cold_until = now + warmup_s
        if not self._has_report:
            self.usual_others = service.others
        self._weight = weight
        relative = self._relative_pace(service, now, weight)
        if now < self._cold_until:
            relative *= COLD_FACTOR
        self.token_ms = service.token_ms * relative
        usual_ms = SILENCE_FACTOR * service.first_event_ms * max(1.0, relative)
        self.silence_ms = min(MAX_SILENCE_MS, max(MIN_SILENCE_MS, usual_ms))

    def _relative_pace(self, service: ServicePace, now: float, weight: float) -> float:
        prior = 1.0 / min(MAX_WEIGHT, max(1.0 / MAX_WEIGHT, weight))
        if not self._samples:
            return prior
        age_s = max(0.0, now - self._sampled_at)
        count = len(self._samples) * 0.5 ** (age_s / SAMPLE_HALF_LIFE_S)
        learned = math.log(median(self._samples) / service.token_ms)
        total = count + PRIOR_SAMPLES
        return math.exp((count * learned + PRIOR_SAMPLES * math.log(prior)) / total)

    # Reports

    def record_others(self, others: float, now: float, service: ServicePace) -> None:
        """Record the number of requests from other relays at the server."""
        self._record_others(others, now, service)
        service.record_others(others)

    def update_others(self, others: float, now: float, service: ServicePace) -> None:
        """Record the requests from other relays as these report them themselves.

        Parameters
        ----------
        now : float
            Time at which the number was right; older ones than the last are ignored.
        """
        if now <= self.report_at:
            return
        # The last figure stays as old as it is.
        age_s = now - self.report_at
        self.figure_excess *= REPORT_HALF_WEIGHT_S / (REPORT_HALF_WEIGHT_S + age_s)
        self._record_others(others, now, service)

    def _record_others(self, others: float, now: float, service: ServicePace) -> None:
        if not self._has_report:
            self._has_report = True
            # A single report is no usual load; it would outlive its weight.
            self.usual_others = service.others
        self.usual_others += OTHERS_WEIGHT * (others - self.usual_others)
        self.others_excess = others - self.usual_others
        self.report_at = now

    def record_figure(self, figure: float | None) -> None:
        """Record the reported figure; None if the report had none.

        Only the change against the server's usual figure counts. A server that always
        reports the same wrong figure thus gains nothing.
        """
        if figure is None:
            self.figure_excess = 0.0
            return
        self._figures.append(figure)
        correction = figure / median_low(self._figures)
        correction = min(MAX_CORRECTION, max(MIN_CORRECTION, correction))
        self.figure_excess = correction - 1.0

    # Requests of this process

    def start(self, now: float, running: int) -> AttemptTimer:
        """Start the timer of a request, one of `running` at the server."""
        timer = AttemptTimer(now, float(running))
        self.attempts[id(timer)] = timer
        self.check_at = min(self.check_at, now + self.silence_ms / MS_PER_S)
        return timer

    def record_progress(self, timer: AttemptTimer, now: float) -> None:
        """Record a sign of progress, which ends a suspicion of silence."""
        timer.last_at = now
        self._progress_at = now
        self.silent_ends = 0
        self.silent_until = float("-inf")

    def record_events(self, timer: AttemptTimer, count: int, now: float) -> None:
        """Record events of a stream."""
        timer.record_events(count, now)
        self.record_progress(timer, now)

    def record_stream(
        self,
        timer: AttemptTimer,
        service: ServicePace,
        now: float,
        *,
        tokens_per_event: int,
        missing_tokens: float,
    ) -> None:
        """Learn from a complete stream.

        Parameters
        ----------
        tokens_per_event : int
            Tokens in one event of the stream. Nothing is learned if the
            configuration states no positive number.
        missing_tokens : float
            Prompt tokens that this process had not sent to the server before.
        """
        self.record_progress(timer, now)
        if tokens_per_event <= 0:
            return
        duration_ms = (now - timer.started_at) * MS_PER_S
        service.record_response(
            timer.first_event_ms, duration_ms, timer.event_count * tokens_per_event
        )
        if not timer.gaps_ms:
            return
        gap_ms = median(timer.gaps_ms)
        self._record_sample(gap_ms / tokens_per_event, timer, service, now)
        service.record_prompt(timer.first_event_ms - gap_ms, missing_tokens)

    def record_response(
        self, timer: AttemptTimer, service: ServicePace, now: float
    ) -> None:
        """Learn from a complete response of a plain service."""
        self.record_progress(timer, now)
        duration_ms = (now - timer.started_at) * MS_PER_S
        service.record_response(duration_ms, duration_ms, 1.0)
        self._record_sample(duration_ms, timer, service, now)

    def _record_sample(
        self, sample_ms: float, timer: AttemptTimer, service: ServicePace, now: float
    ) -> None:
        """Record milliseconds per token.

        The reported figure may explain a sample down to the usual pace of the service
        and no further. Otherwise a server that reports a disturbance without having one
        would look faster than all others.
        """
        if sample_ms <= 0 or (self._cold_until is not None and now < self._cold_until):
            return
        raw = sample_ms / (1.0 + BATCH_SLOWDOWN * max(0.0, timer.running - 1.0))
        corrected = raw / timer.correction
        if corrected < service.token_ms:
            corrected = min(raw, service.token_ms)
        service.record_token_ms(corrected)
        self._samples.append(corrected)
        self._sampled_at = now
        self.refresh(service, now, self._weight, 0.0)

    def end(self, timer: AttemptTimer, now: float) -> bool:
        """End a request; return whether it ended in silence.

        A request that stops while others of the same server make progress says nothing
        about the server.
        """
        del self.attempts[id(timer)]
        silent_ms = (now - timer.last_at) * MS_PER_S
        if timer.is_paused or silent_ms < self.silence_ms:
            return False
        if self._progress_at > timer.last_at:
            return False
        backoff_s = SILENCE_BACKOFF_S * 2.0 ** min(10, self.silent_ends)
        self.silent_until = now + min(MAX_SILENCE_BACKOFF_S, backoff_s)
        self.silent_ends += 1
        self.check_at = now
        return True

    def set_suspect(self, is_suspect: bool) -> None:
        """Set whether other relays also observe failures or silence."""
        self.is_suspect = is_suspect
        if is_suspect:
            self.check_at = float("-inf")

    def is_avoided(self, now: float) -> bool:
        """Return whether the server should get no new requests if others are left.

        It seems to have stopped responding, or other relays suspect it. After requests
        that ended in silence, a single one probes it.
        """
        if self.is_suspect or now < self.silent_until:
            return True
        if self.silent_ends:
            return bool(self.attempts)
        silence_s = self.silence_ms / MS_PER_S
        waiting_since = [t.last_at for t in self.attempts.values() if not t.is_paused]
        self.check_at = min(waiting_since, default=float("inf")) + silence_s
        if len(waiting_since) < len(self.attempts):
            self.check_at = min(self.check_at, now + silence_s)
        return now >= self.check_at
