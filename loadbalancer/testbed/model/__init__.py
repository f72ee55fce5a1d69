"""The model of the world around a balancer. Pure: handed the clock and its chance."""
