"""Platform clients. Modules here register themselves."""
