package main

import "time"

// smallDeployment returns settings like those of a small deployment: one class that is safe to repeat, one
// that carries a key and one that may not be repeated, and one plan without a limit.
func smallDeployment(mode string, drainGrace time.Duration, shards int) map[string]any {
	class := func(name, repeat string, deadline, onTime time.Duration) map[string]any {
		return map[string]any{"name": name, "deadline_ns": deadline, "on_time_ns": onTime,
			"repeat": repeat, "worth": 2}
	}
	write := class("field-write", "idempotency_key", 3*time.Second, 600*time.Millisecond)
	write["group"], write["window_ns"] = "cell", 5*time.Second
	return map[string]any{
		"classes": []any{
			class("field-read", "read_like", 2500*time.Millisecond, 500*time.Millisecond),
			write,
			class("ledger", "non_idempotent", 3*time.Second, 600*time.Millisecond),
		},
		"contracts": []any{map[string]any{"name": "standard", "base_rate": 100, "proportion": 1,
			"reservation": 50, "worth_factor": 1}},
		"domain": map[string]any{"mean_units": 2, "most_units": 6, "shards": shards,
			"cold_bears": 62, "class_writes": []bool{false, true, true}},
		"failure_domains": []string{"a"},
		"kinds":           []string{"m"},
		"limits": map[string]any{"attempts_cap": 3, "cancel": true, "probes": true, "peers": false,
			"second_copies": true, "retry_after": true, "max_retry_after_ns": 500 * time.Millisecond,
			"dial_timeout_ns": 250 * time.Millisecond, "idle_close_ns": 15 * time.Second,
			"max_open": 1000},
		"me": 0, "peers_total": 1, "registry_mode": mode, "round_ns": time.Millisecond, "zone": 0,
		"rules": map[string]any{"answer_slack_ns": 8 * time.Millisecond,
			"ask_within_ns": 10 * time.Second, "drain_grace_ns": drainGrace},
	}
}
