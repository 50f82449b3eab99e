"""HTTP/1.1 connections with exact control over what was sent and when they end."""
