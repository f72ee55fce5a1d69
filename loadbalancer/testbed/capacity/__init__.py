"""What one balancer process bears on one core, beside a bare relay on the same core in the same
run.
"""
