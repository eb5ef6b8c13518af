package main

// serviceEntry returns a service of the configuration.
func serviceEntry(name string, connections int, warmupPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false, "warmup_s": 3.0,
		"warmup_per_s": warmupPerSecond,
	}
}

// configLimits returns the limits that the configuration gives to clients.
func configLimits() map[string]any {
	return map[string]any{"max_header_bytes": legalHeader, "max_body_bytes": legalBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// failed records why a case could not run.
func (s *scene) failed(err error) int {
	s.rec.line("the case could not run: %v", err)
	return failed
}
