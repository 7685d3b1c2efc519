"""Place requests on upstreams by a cost model and shared outstanding work."""
