"""Adapter to the users' platform: its names, formats and calls.

The modules here only translate; decisions are made elsewhere. No other
package uses the platform's names.
"""
