"""Thrift RPC between the processes of the system."""
