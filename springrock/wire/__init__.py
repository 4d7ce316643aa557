"""Wire formats: one module for each protocol spoken with an outside party."""
