"""Stand-ins for the systems around wisteriastair.

They implement enough of the published protocols to run the complete path on one
machine, record what happened for checkers, and fail on demand.  They are for
demonstrations, tests and measurements, and never part of a deployment.
"""
