package platform

// Reload applies the part of a new configuration that may change while the scheduler runs: the address of the
// discovery service. Everything else in it is ignored.
func (g *Gateway) Reload(config *Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discoveryAddress = config.Discovery
	if g.discovery != nil {
		g.discovery.MoveTo(config.Discovery)
	}
	g.log.Info(messageReloaded, attrDiscovery, config.Discovery)
}
