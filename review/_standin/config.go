package main

// config returns a config of the platform with one streaming, one unsafe and one safe route.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, slo, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": "ficu95.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeout, "slo_ms": slo,
			"priority": 1, "service": service, "attempts": attempts, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-stream", "/stream/", "streaming", "llm", 25000, 4500, 5, map[string]any{"sticky": true, "resumable": true, "itl_target_ms": 700}),
			route("r-credit", "/credit/", "unsafe", "app", 1200, 150, 1, nil),
			route("r-drum", "/drum/", "safe", "app", 1200, 150, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 321, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 12, "kv_capacity": 55000, "kv_bytes": 163840, "link_mbps": 1100000.0, "moves": false, "backups": false, "stride": 7, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 214, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []any{"xd9dnn2ctnfzs989anu6"}, "priority": 1}},
	}
}
