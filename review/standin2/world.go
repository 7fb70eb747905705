package main

// startWorld starts disk servers, one a cell, discovery and a scheduler. address gives the address at which
// the scheduler reaches a disk server; nil: its own. sockets is the limit of descriptors; 0: the usual one.
func startWorld(rec *recorder, cells int, handler func(*diskRequest) bool,
	address func(*disk) (string, error), sockets int) (*gateway, []*disk, error) {
	g, disks, err := newWorld(rec, cells, handler, address)
	if err != nil {
		return nil, nil, err
	}
	if sockets > 0 {
		g.limits["sockets"] = sockets
	}
	if err := g.start(); err != nil {
		g.close()
		return nil, nil, err
	}
	return g, disks, nil
}

// newWorld is startWorld but for the start of the scheduler.
func newWorld(rec *recorder, cells int, handler func(*diskRequest) bool,
	address func(*disk) (string, error)) (*gateway, []*disk, error) {
	var disks []*disk
	var entries []listed
	for cell := range cells {
		server, err := startDisk(rec, cellName(cell), cell, handler)
		if err != nil {
			return nil, nil, err
		}
		at := server.address
		if address != nil {
			if at, err = address(server); err != nil {
				return nil, nil, err
			}
		}
		disks = append(disks, server)
		entries = append(entries, serverEntry(server.name, at, cell))
	}
	service, err := startDiscovery(rec, entries)
	if err != nil {
		return nil, nil, err
	}
	g, err := newGateway(rec, service, cells)
	if err != nil {
		return nil, nil, err
	}
	return g, disks, nil
}
