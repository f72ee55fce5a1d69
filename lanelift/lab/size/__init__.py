"""The fleet at the planned size: what each role costs, measured in slopes and with hollow balancers."""
