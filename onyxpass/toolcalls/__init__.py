"""The JSON-RPC 2.0 front end: one JSON object per line over loopback TCP, with tool calls made
while a response streams.
"""
