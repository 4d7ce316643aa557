"""Wire formats: one module for each protocol with another process."""
