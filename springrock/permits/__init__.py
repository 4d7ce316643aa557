"""What one replica gets from all boxes together: while it is cold, and within a limit it names."""
