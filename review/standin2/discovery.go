package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// listed is one disk server in a list.
type listed struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"`
}

type list struct {
	Generation uint64   `json:"generation"`
	Reset      bool     `json:"reset"`
	Instances  []listed `json:"instances"`
}

type change struct {
	generation uint64
	entry      listed
}

// discovery is a stand-in for the discovery service: the whole list, and watches.
type discovery struct {
	rec     *recorder
	address string
	delay   time.Duration // of the answer to each call; set before the first one

	mu         sync.Mutex
	generation uint64
	entries    map[string]listed
	order      []string
	changes    []change
	updated    chan struct{} // closed at the next change
}

func startDiscovery(rec *recorder, entries []listed) (*discovery, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, address: listener.Addr().String(), generation: 41,
		entries: map[string]listed{}, updated: make(chan struct{})}
	for _, entry := range entries {
		d.entries[entry.InstanceID] = entry
		d.order = append(d.order, entry.InstanceID)
	}
	go http.Serve(listener, http.HandlerFunc(d.serve)) //nolint:errcheck // ends with the process
	return d, nil
}

// set changes or adds an entry of the list.
func (d *discovery) set(entry listed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	if _, known := d.entries[entry.InstanceID]; !known {
		d.order = append(d.order, entry.InstanceID)
	}
	d.entries[entry.InstanceID] = entry
	d.changes = append(d.changes, change{d.generation, entry})
	close(d.updated)
	d.updated = make(chan struct{})
	d.rec.logf("list gen=%d %s %s startedAt=%d", d.generation, entry.InstanceID, entry.Lifecycle,
		entry.StartedAtMS)
}

func (d *discovery) full() list {
	whole := list{Generation: d.generation, Reset: true}
	for _, id := range d.order {
		if entry := d.entries[id]; entry.Lifecycle != "gone" {
			whole.Instances = append(whole.Instances, entry)
		}
	}
	return whole
}

func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full()
}

// since returns the changes after a version, and the channel that is closed at the next one.
func (d *discovery) since(index uint64) (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	part := list{Generation: d.generation}
	for _, c := range d.changes {
		if c.generation > index {
			part.Instances = append(part.Instances, c.entry)
		}
	}
	return part, d.updated
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	d.rec.logf("discovery gets a call: %s", r.URL.RawQuery)
	select {
	case <-time.After(d.delay):
	case <-r.Context().Done():
		d.rec.logf("a call was given up before its answer")
		return
	}
	if r.URL.Query().Get("stream") != "1" {
		json.NewEncoder(w).Encode(d.whole()) //nolint:errcheck // the caller has gone
		return
	}
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	controller := http.NewResponseController(w)
	write := func(value any) bool {
		text := []byte("\n")
		if value != nil {
			text, _ = json.Marshal(value)
			text = append(text, '\n')
		}
		if _, err := w.Write(text); err != nil {
			return false
		}
		return controller.Flush() == nil
	}
	d.mu.Lock()
	whole, updated := d.full(), d.updated
	d.mu.Unlock()
	if !write(whole) {
		return
	}
	d.rec.logf("watch opened index=%d at gen=%d", index, whole.Generation)
	index = whole.Generation
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if !write(nil) {
				return
			}
		case <-updated:
			var part list
			part, updated = d.since(index)
			if !write(part) {
				return
			}
			index = part.Generation
		}
	}
}

func serverEntry(id, hostPort string, cell int) listed {
	return listed{InstanceID: id, HostPort: hostPort, Zone: "hall-a", MachineType: "box-3c", Cell: cell,
		Lifecycle: "ready", Weight: 1}
}

func cellName(cell int) string { return fmt.Sprintf("s-%08x", 0x5be20000+cell) }
