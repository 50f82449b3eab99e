"""The operators: their query and command language."""
