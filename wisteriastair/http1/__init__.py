"""HTTP/1.1 connections with exact control of what was sent and when they close."""
