package config

import (
	"errors"
	"fmt"
	"time"
)

// Peer is another instance: (peer number address).
type Peer struct {
	Number uint32 `s:",arg"`
	Addr   Addr   `s:",arg"`
}

// Instance is the settings file of storage-gateway serve: (instance …).
type Instance struct {
	Number          int           `s:"number" min:"0" max:"65535"` // from 0
	Instances       int           `s:"of" min:"1" max:"65535"`     // in the fleet
	Zone            string        `s:"zone"`                       // "": the site's first
	Seed            uint64        `s:"seed"`
	Listen          Addr          `s:"listen,required"`
	Registry        Addr          `s:"list,required"`
	SnapshotFile    string        `s:"kept-list"`   // cached endpoint list for the next incarnation; "": none
	StatisticsFile  string        `s:"learnt"`      // learned statistics for the next incarnation; "": none
	PeerListen      Addr          `s:"peer-listen"` // zero: no messages between instances
	Peers           []Peer        `s:"peer"`
	LogLevel        string        `s:"log-level"`
	LogJSON         bool          `s:"log-json"`
	ShutdownTimeout time.Duration `s:"stop-within" min:"0s" max:"10m"` // for open requests at shutdown
	Site            Site          `s:"site,required"`
}

// DefaultInstance returns the default settings of an instance, into which its file is loaded.
func DefaultInstance() Instance {
	return Instance{
		Instances:       1,
		ShutdownTimeout: 10 * time.Second,
		LogLevel:        "info",
		Site:            DefaultSite(),
	}
}

// Check reports fields that contradict one another and replaces an empty zone with the site's first.
func (i *Instance) Check() error {
	if i.Number >= i.Instances {
		return fmt.Errorf("instance number %d of %d: numbers start at 0", i.Number, i.Instances)
	}
	if err := i.Site.resolveZone(&i.Zone); err != nil {
		return err
	}
	if !i.Site.Limits.PeerMessages && (i.PeerListen.IsValid() || len(i.Peers) > 0) {
		return errors.New("the site has (peers no): (peer-listen …) and (peer …) are not allowed")
	}
	if i.StatisticsFile != "" && i.StatisticsFile == i.SnapshotFile {
		return fmt.Errorf("(learnt …) and (kept-list …) name the same file %s", i.StatisticsFile)
	}
	if number, found := firstRepeated(i.Peers, func(peer Peer) uint32 { return peer.Number }); found {
		return fmt.Errorf("duplicate peer %d", number)
	}
	return nil
}
