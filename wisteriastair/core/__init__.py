"""The deterministic core: state machines without input or output.

Every daemon is a thin shell around the classes of this package.  A shell hands
in typed events together with the time, and carries out the typed effects that
come back.  Nothing here reads a clock, draws a random number, opens a socket or
awaits; an import contract in ``pyproject.toml`` keeps it that way.  The same code
is therefore explored by the model checker, replayed by golden sessions and
driven by failure tests in virtual time.

Modules, from the bottom up:

``records``
    The log records of a program and their codec.
``wire``
    The messages between the processes of the system.
``events``
    What a shell hands in and what it is asked to do.
``config``
    The operators' configuration as a fold of changes.
``docs``
    Spreading the configuration and the slot table.
``peers``
    Liveness, incarnations and failure domains of other processes.
``replica``, ``slotlog``, ``slotstate``, ``slots``, ``copies``
    Who carries a slot, and the copy of its log.
``placement``, ``balance``
    Changing the slot table, and what for.
``program``, ``running``, ``carrier``, ``calls``, ``admission``
    The steps of a program, and the process that carries them.
``dispatch``, ``routing``
    Which server gets a call.
``gate``, ``ordering``
    The one way to a backend server.
``side``, ``entry``
    The two daemons, composed of the above.
"""
