"""Serving layer for very many LoRA adapters on a shared base model."""

__version__ = "0.1.0"
