"""The deterministic core: state machines without input or output.

Each daemon is a thin shell around the classes of this package. A shell passes in typed
events together with the time, and executes the typed effects that are returned. Nothing
in this package reads a clock, draws a random number, opens a socket or awaits, which an
import contract in ``pyproject.toml`` enforces. The same code can therefore be explored
by the model checker, replayed by golden sessions and driven by failure tests in virtual
time.

Modules, from the bottom up:

``records``
    Log records of a program and their codec.
``wire``
    Messages between the processes of the system.
``events``
    Events and effects exchanged with a shell.
``config``
    The operators' configuration as a fold of changes.
``docs``
    Distribution of the configuration and the slot table.
``peers``
    Liveness, incarnations and failure domains of other processes.
``replica``, ``slotlog``, ``slotstate``, ``slots``, ``copies``
    Roles of the members of a slot, and replication of its log.
``placement``, ``balance``
    Changes of the slot table, and the policy for them.
``program``, ``running``, ``primary``, ``calls``, ``admission``
    The steps of a program, and the primary that executes them.
``dispatch``, ``routing``
    Choice of a server for a call.
``gate``, ``ordering``
    The only path to a backend server.
``side``, ``entry``
    The two daemons, composed of the above.
"""
