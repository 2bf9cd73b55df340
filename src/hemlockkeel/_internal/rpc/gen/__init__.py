"""Code generated from idl/hemlockkeel.thrift."""
