"""Thrift calls between the processes of the system."""
