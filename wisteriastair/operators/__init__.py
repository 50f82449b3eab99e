"""Tools for operators: command language, HTTP API, client and log analysis."""
