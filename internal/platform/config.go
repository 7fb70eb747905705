// Package platform runs the scheduler as the platform's machines want it: its configuration, HTTP/1.1 from
// clients and to disk servers, its discovery, datagrams between schedulers, and signals. It is one more
// way in and out of the loop in package sched and decides nothing: health, retries, shares, order, drains
// and every time-out but those of connections are the module's.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"

	"landingpaddle/internal/wire"
)

// Limits are what the scheduler's machine has.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is one scheduler's configuration, read and checked.
type Config struct {
	Name          string
	Listen        netip.AddrPort
	Discovery     string // host:port
	Seed          uint64
	Limits        Limits
	PeerListen    netip.AddrPort   // where datagrams come to; the zero value: none do
	Peers         []netip.AddrPort // by number
	BroadcastAddr netip.AddrPort
	InitialList   *List // nil: none was told
	// what the machine's agent has of the list counts as told from a process's first moment
	PushedList bool
	Site       wire.Site
}

// What is assumed where the configuration does not tell.
const (
	defaultMemoryMB = 64
	defaultSockets  = 256
	minSockets      = 32
)

// file is the configuration as it stands in its file. Keys that are not here are ignored.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      *List           `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// Environment gives the variables that the platform sets.
type LookupEnv func(name string) string

// Load reads the configuration that BALANCER_CONFIG names. BALANCER_NAME, BALANCER_LISTEN and
// BALANCER_DISCOVERY stand in for what the file leaves out and may not contradict it.
func Load(env LookupEnv) (*Config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	doc, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	c, err := parseConfig(doc, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func parseConfig(doc []byte, env LookupEnv) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(doc, &f); err != nil {
		return nil, err
	}
	c := &Config{Limits: f.Limits}
	var err error
	for _, v := range []struct {
		key, name string
		to        *string
	}{{"name", "BALANCER_NAME", &f.Name}, {"listen", "BALANCER_LISTEN", &f.Listen},
		{"discovery", "BALANCER_DISCOVERY", &f.Discovery}} {
		told := env(v.name)
		switch {
		case *v.to == "":
			*v.to = told
		case told != "" && told != *v.to && v.key != "discovery": // a new file may name another discovery
			return nil, fmt.Errorf("key %q is %q, but %s is %q", v.key, *v.to, v.name, told)
		}
	}
	c.Name = f.Name
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("key %q is %q: %w", "listen", f.Listen, err)
	}
	if _, _, err := net.SplitHostPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("key %q is %q: %w", "discovery", f.Discovery, err)
	}
	c.Discovery = f.Discovery
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("key %q is %q: %w", "seed", f.Seed, err)
		}
	}
	if err := c.applyLimitDefaults(); err != nil {
		return nil, err
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("key %q is missing", "settings")
	}
	if c.Site, err = wire.ParseNested(f.Settings); err != nil {
		return nil, err
	}
	c.InitialList = f.Known
	// A pushed list comes from the machine's agent on a watch that has to be kept open like any other: the
	// module is to ask for it.
	if c.PushedList = !c.Site.Settings.PollEndpoints; c.PushedList {
		set := &c.Site.Settings
		set.PollEndpoints, set.PollTimeout, set.PushGrace = true, 0, set.DrainGrace
	}
	return c, c.parsePeers(f)
}

// limits checks what the machine is said to have; what is not said is taken to be little.
func (c *Config) applyLimitDefaults() error {
	l := &c.Limits
	switch {
	case l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0:
		return fmt.Errorf("key %q: a limit is negative", "limits")
	case l.Sockets > 0 && l.Sockets < minSockets:
		return fmt.Errorf("key %q: %d sockets are too few, %d are needed", "limits.sockets", l.Sockets,
			minSockets)
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	return nil
}

func (c *Config) parsePeers(f configFile) error {
	if !c.Site.Settings.PeerMessages || f.PeerListen == "" {
		c.Site.Settings.PeerMessages = false
		return nil
	}
	var err error
	if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return fmt.Errorf("key %q is %q: %w", "peer_listen", f.PeerListen, err)
	}
	for i, text := range f.Peers {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("key %q, item %d is %q: %w", "peers", i, text, err)
		}
		c.Peers = append(c.Peers, at)
	}
	if f.PeersAll != "" {
		if c.BroadcastAddr, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return fmt.Errorf("key %q is %q: %w", "peers_all", f.PeersAll, err)
		}
	}
	return nil
}
