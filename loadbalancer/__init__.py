"""loadbalancer: the decisions of an HTTP load balancer run as a bank of proxies."""
