"""A serving layer for very many LoRA adapters on a few shared base models."""

__version__ = "0.1.0"
