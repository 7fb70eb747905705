package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// list is discovery's list of disk servers, or the changes to it.
type list struct {
	Generation uint64        `json:"generation"`
	Reset      bool          `json:"reset"`
	Instances  []listedEntry `json:"instances"`
}

type listedEntry struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS float64 `json:"startedAtMs"`
}

func entry(server *diskServer, lifecycle string) listedEntry {
	return listedEntry{ID: server.id, HostPort: server.address, Zone: "a", MachineType: "m",
		Cell: server.cell, Lifecycle: lifecycle, Weight: 1}
}

// discovery serves the list and watches of its changes. Each call is answered after a delay.
type discovery struct {
	address string
	delay   time.Duration
	rec     *record
	server  *http.Server

	mu      sync.Mutex
	full    list
	changes []list
	changed chan struct{} // closed at the next change
}

func startDiscovery(rec *record, full list, delay time.Duration) (*discovery, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: listener.Addr().String(), delay: delay, rec: rec, full: full,
		changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.serve)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// change records changed entries under the next generation and tells all watches.
func (d *discovery) change(entries ...listedEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full.Generation++
	for _, e := range entries {
		d.apply(e)
	}
	d.changes = append(d.changes, list{Generation: d.full.Generation, Instances: entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

// apply writes one entry into the full list. The caller holds d.mu.
func (d *discovery) apply(e listedEntry) {
	for i := range d.full.Instances {
		if d.full.Instances[i].ID == e.ID {
			d.full.Instances[i] = e
			return
		}
	}
	d.full.Instances = append(d.full.Instances, e)
}

// since returns what a caller that has a version needs, and a channel that is closed at the next change.
func (d *discovery) since(version uint64) ([]list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version == 0 || version > d.full.Generation {
		whole := d.full
		whole.Reset = true
		whole.Instances = append([]listedEntry(nil), whole.Instances...)
		return []list{whole}, d.changed
	}
	var missing []list
	for _, c := range d.changes {
		if c.Generation > version {
			missing = append(missing, c)
		}
	}
	return missing, d.changed
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.rec.add("discovery called %s", r.URL.RequestURI())
	select {
	case <-time.After(d.delay):
	case <-r.Context().Done():
		d.rec.add("discovery's caller gave up after less than %v", d.delay)
		return
	}
	version, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if r.URL.Query().Get("stream") == "" {
		whole, _ := d.since(0)
		_ = json.NewEncoder(w).Encode(whole[0])
		return
	}
	d.rec.add("discovery answers a watch from %d", version)
	flusher := w.(http.Flusher)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	for {
		messages, changed := d.since(version)
		for _, message := range messages {
			_ = json.NewEncoder(w).Encode(message)
			version = message.Generation
			d.rec.add("discovery told generation %d", version)
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			_, _ = w.Write([]byte("\n"))
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}
