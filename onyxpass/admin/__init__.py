"""The admin interface of an instance: its configuration in force, reloads and its drain."""
