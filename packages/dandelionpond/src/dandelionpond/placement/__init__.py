"""Place requests on upstreams by cost model and the nodes' outstanding jobs."""
