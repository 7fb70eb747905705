package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"

	"landingpaddle/internal/wire"
)

// Defaults of limits that the configuration omits, and the least number of sockets that it may specify, which
// leaves connections to clients and to disk servers besides reservedSockets.
const (
	defaultMemoryMB = 64
	defaultSockets  = 256
	minSockets      = 32
)

// configFile is the content of a configuration file. Keys that are not listed here are ignored.
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

// parseConfig converts a configuration file, completed from the environment, into a validated configuration.
func parseConfig(document []byte, lookup LookupEnv) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(document, &file); err != nil {
		return nil, err
	}
	if err := file.applyEnvironment(lookup); err != nil {
		return nil, err
	}
	config := &Config{Name: file.Name, Limits: file.Limits, InitialList: file.Known}
	for _, parse := range []func(*configFile) error{
		config.parseAddresses, config.parseSeed, config.parseLimits, config.parseSettings, config.parsePeers,
	} {
		if err := parse(&file); err != nil {
			return nil, err
		}
	}
	return config, nil
}

// applyEnvironment sets values that the file omits from the environment. A discovery address in the file
// takes precedence over the environment's, since a changed file may specify another one while the process
// runs.
func (f *configFile) applyEnvironment(lookup LookupEnv) error {
	for _, setting := range []struct {
		key, variable string
		value         *string
		mustAgree     bool
	}{
		{configKeyName, envName, &f.Name, true},
		{configKeyListen, envListen, &f.Listen, true},
		{configKeyDiscovery, envDiscovery, &f.Discovery, false},
	} {
		fromEnv := lookup(setting.variable)
		switch {
		case *setting.value == "":
			*setting.value = fromEnv
		case setting.mustAgree && fromEnv != "" && fromEnv != *setting.value:
			return valueError(setting.key, *setting.value,
				fmt.Errorf("contradicts %s, which is %q", setting.variable, fromEnv))
		}
	}
	return nil
}

func (c *Config) parseAddresses(file *configFile) (err error) {
	if c.Listen, err = netip.ParseAddrPort(file.Listen); err != nil {
		return valueError(configKeyListen, file.Listen, err)
	}
	if _, _, err := net.SplitHostPort(file.Discovery); err != nil {
		return valueError(configKeyDiscovery, file.Discovery, err)
	}
	c.Discovery = file.Discovery
	return nil
}

func (c *Config) parseSeed(file *configFile) (err error) {
	if file.Seed == "" {
		return nil
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return valueError(configKeySeed, file.Seed, err)
	}
	return nil
}

// parseLimits checks the machine's limits. Memory and sockets get small defaults if they are not specified.
func (c *Config) parseLimits(*configFile) error {
	limits := &c.Limits
	switch {
	case limits.Cores < 0 || limits.MemoryMB < 0 || limits.Sockets < 0:
		return keyError(configKeyLimits, errNegativeLimit)
	case limits.Sockets > 0 && limits.Sockets < minSockets:
		return keyError(configKeySockets,
			fmt.Errorf("%d sockets are too few, at least %d are needed", limits.Sockets, minSockets))
	}
	if limits.MemoryMB == 0 {
		limits.MemoryMB = defaultMemoryMB
	}
	if limits.Sockets == 0 {
		limits.Sockets = defaultSockets
	}
	return nil
}

func (c *Config) parseSettings(file *configFile) (err error) {
	if len(file.Settings) == 0 {
		return keyError(configKeySettings, errKeyMissing)
	}
	if c.Site, err = wire.ParseNested(file.Settings); err != nil {
		return err
	}
	// The machine's agent pushes its list on a watch, which the scheduler opens and keeps open only if
	// PollEndpoints is set. A broken watch must be reopened within the drain grace period. With PollTimeout
	// 0, one that delivers no update is reopened early.
	settings := &c.Site.Settings
	if c.PushedList = !settings.PollEndpoints; c.PushedList {
		settings.PollEndpoints, settings.PollTimeout = true, 0
		settings.PushGrace = settings.DrainGrace
	}
	return nil
}

// parsePeers parses the datagram addresses. Without a listening address no peer messages are exchanged.
func (c *Config) parsePeers(file *configFile) (err error) {
	if !c.Site.Settings.PeerMessages || file.PeerListen == "" {
		c.Site.Settings.PeerMessages = false
		return nil
	}
	if c.PeerListen, err = netip.ParseAddrPort(file.PeerListen); err != nil {
		return valueError(configKeyPeerListen, file.PeerListen, err)
	}
	for i, text := range file.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return valueError(fmt.Sprintf("%s.%d", configKeyPeers, i), text, err)
		}
		c.Peers = append(c.Peers, address)
	}
	if file.PeersAll == "" {
		return nil
	}
	if c.BroadcastAddr, err = netip.ParseAddrPort(file.PeersAll); err != nil {
		return valueError(configKeyPeersAll, file.PeersAll, err)
	}
	return nil
}
