package config

import "time"

// Registry is the settings file of storage-gateway list, a stand-in for the registry: (list …).
type Registry struct {
	Listen   Addr          `s:"listen,required"`
	Delay    time.Duration `s:"delay" min:"0s" max:"10m"`    // between a change and its publication
	Workers  int           `s:"workers" min:"1" max:"1024"`  // calls served concurrently
	CallTime time.Duration `s:"call-time" min:"0s" max:"1m"` // service time of one call
	MaxWait  time.Duration `s:"max-wait" min:"0s" max:"1m"`  // for a worker; a longer wait fails the call
}

// DefaultRegistry returns the default settings of a registry, into which its file is loaded.
func DefaultRegistry() Registry {
	return Registry{
		Delay:    500 * time.Millisecond,
		Workers:  2,
		CallTime: 2 * time.Millisecond,
		MaxWait:  500 * time.Millisecond,
	}
}
