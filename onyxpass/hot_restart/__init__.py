"""Hot restart: state that the processes of one dispatcher share while one replaces another.

``process_registry`` owns this process's view of the others; besides ``inherited_listener`` it is
the only module that the rest of the program uses. ``process_files``, ``shared_exclusions`` and
``descriptor_limits`` each handle one concern. ``onyxpass.net.stream_migration`` migrates open
streams.
"""
