package platform

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"landingpaddle/internal/wire"
)

// Limits are the resources of the scheduler's machine. Zero means that the configuration specifies no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`   // file descriptors that the process may have open
}

// Config is the validated configuration of one scheduler. It does not change after [Load] has returned it.
type Config struct {
	Name          string
	Listen        netip.AddrPort
	Discovery     string // host:port of the discovery service
	Seed          uint64
	Limits        Limits
	PeerListen    netip.AddrPort   // receives datagrams; the zero value: no datagrams are exchanged
	Peers         []netip.AddrPort // datagram addresses of all schedulers, by instance index
	BroadcastAddr netip.AddrPort   // reaches all schedulers; the zero value: there is no such address
	InitialList   *List            // nil: the configuration contains none
	// PushedList reports that an agent on the machine pushes the endpoint list. The scheduler counts as
	// notified of the agent's list from the start of the process.
	PushedList bool
	Site       wire.Site
}

// LookupEnv returns the value of an environment variable, or "" if it is not set.
type LookupEnv func(name string) string

// Environment variables that the platform sets.
const (
	envConfig    = "BALANCER_CONFIG"
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
)

// Keys of the configuration file that appear in errors.
const (
	configKeyName       = "name"
	configKeyListen     = "listen"
	configKeyDiscovery  = "discovery"
	configKeySeed       = "seed"
	configKeyLimits     = "limits"
	configKeySockets    = "limits.sockets"
	configKeySettings   = "settings"
	configKeyKnown      = "known"
	configKeyPeerListen = "peer_listen"
	configKeyPeers      = "peers"
	configKeyPeersAll   = "peers_all"
)

var (
	errConfigNotSet  = errors.New(envConfig + " is not set")
	errKeyMissing    = errors.New("a value is required")
	errNegativeLimit = errors.New("a limit is negative")
)

// ConfigError reports an invalid configuration value. Its text is one line.
type ConfigError struct {
	Key   string  // path of the value in the configuration file
	Value *string // the value as configured; nil: the error does not concern a single value
	Err   error   // what is wrong with it
}

// Error names the key, the value and what is wrong with it.
func (e *ConfigError) Error() string {
	if e.Value == nil {
		return fmt.Sprintf("key %q: %v", e.Key, e.Err)
	}
	return fmt.Sprintf("key %q is %q: %v", e.Key, *e.Value, e.Err)
}

// Unwrap returns what is wrong with the value.
func (e *ConfigError) Unwrap() error { return e.Err }

func keyError(key string, err error) error { return &ConfigError{Key: key, Err: err} }

func valueError(key, value string, err error) error {
	return &ConfigError{Key: key, Value: &value, Err: err}
}

// Load reads and validates the configuration file that BALANCER_CONFIG names. BALANCER_NAME, BALANCER_LISTEN
// and BALANCER_DISCOVERY supply values that the file omits; the first two must not contradict it. Errors name
// the file and, if it is known, the key, as a [*ConfigError].
func Load(lookup LookupEnv) (*Config, error) {
	path := lookup(envConfig)
	if path == "" {
		return nil, errConfigNotSet
	}
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	config, err := parseConfig(document, lookup)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}
