"""The other processes of the system: transport between them."""
