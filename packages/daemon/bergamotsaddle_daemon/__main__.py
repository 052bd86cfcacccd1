"""Lets ``python -m bergamotsaddle_daemon`` run the daemon."""

from bergamotsaddle_daemon.app import main

main()
