"""Decisions of the relays, without input or output.

Each module states the load pattern that its decision answers. Times and random numbers
are passed in, so that tests replay a load in virtual time. `relay` and `platform` may
import this package, `core` may not; import contracts in ``pyproject.toml`` enforce it.

Modules, from the bottom up:

``reuse``
    Prompt segments that servers have cached.
``need``
    What a request needs, and the verdicts about it.
``observations``
    Own requests at a server and their outcomes.
``pace``
    Pace of each server, learned from its responses, and its silence.
``outages``
    What an outage of the store says of missing entries.
``fleet``
    Known servers, their load and their failures.
``affinity``
    Servers preferred for a shared prefix.
``choice``
    Selection of a server for a request.
``finish``
    Selection by predicted finish, for services whose servers report their pace.
``retries``
    Timeouts per attempt and the retry budget of plain services.
``digest``
    What a relay reports of each server to the keepers.
``capacity``
    Capacity steps of servers.
``blocks``
    What is sent of the sums, within a bound of bytes.
``sums``
    Parts of sums, how they are added, and when they expire.
``relay_reports``
    What a keeper holds of the relays that report to it.
``peer_sums``
    What a keeper holds of the other keepers.
``weight_decision``
    Which keeper decides the weights of servers, and what it decides.
``merge``
    What a keeper merges from the reports of relays and sends to them.
``picture``
    What a relay knows from the merged reports.
``urgency``
    Priority of a turn at an engine.
``engine_memory``
    Servers that have memory left for a request.
``occupancy``
    How long turns wait for a slot of a service.
``fair_shares``
    Max-min fair shares of the programs that a service starts.
``admission``
    Whether a program may start, and the retry budget of streamed turns.
``buffers``
    One byte budget for what a relay holds for callers and servers.
``relay_load``
    Overload of a relay: lag of its event loop, and use of its link.
``exposure``
    Servers that may turn out to have crashed under a request.
``crashes``
    Servers that crashed under a request, and quarantined requests.
``reach``
    Reachability of a set of peers.
"""
