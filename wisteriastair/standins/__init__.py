"""Small stand-ins for the systems around wisteriastair.

They speak the published protocols well enough to run the whole path on one machine,
keep records of what really happened (for checkers), and fail on demand.  They are for
demonstration, tests and measurements, and never part of a deployment.
"""
