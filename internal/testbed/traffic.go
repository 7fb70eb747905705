package testbed

import (
	"fmt"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/sexpr"
)

// Traffic is one stream of requests, of one class and for the volumes of one plan.
type Traffic struct {
	Class           string  `s:"class,required"`
	Plan            string  `s:"plan,required"`
	Rate            float64 `s:"rate,required" min:"0.1" max:"100000"` // requests a second
	Volumes         int     `s:"volumes" min:"1" max:"100000"`
	Units           []int   `s:"units"`                      // minimum and maximum of a request
	Keys            int     `s:"keys" min:"0" max:"1000000"` // of each volume; 0: requests have no key
	NewObjects      bool    `s:"new-objects"`                // writes create objects, reads use some of them
	HotShare        float64 `s:"hot" min:"0" max:"1"`        // share of requests fixed to the first volume
	VolumeInstances int     `s:"writers" min:"1" max:"512"`  // instances that receive a volume's requests
	Fields          *Fields `s:"fields"`
}

// Fields makes a stream request byte ranges of fields: one field per volume, one slice per request. The
// slices are random and requested at the stream's rate or, if RunInterval is set, all requested at about the
// same time.
type Fields struct {
	Size        sexpr.Size    `s:"size,required" min:"1B" max:"1GiB"`
	Slice       sexpr.Size    `s:"slice,required" min:"1B" max:"64MiB"`
	Shared      bool          `s:"shared"`                   // all volumes use the first one's field
	RunInterval time.Duration `s:"run" min:"0s" max:"10m"`   // interval of requests for all slices; 0: random
	RunSpread   time.Duration `s:"spread" min:"0s" max:"1m"` // time over which a run's requests spread
}

// setSlice sets a request's byte range to a slice of its field. It clears the cell, which the instance
// derives from the range.
func (f *Fields) setSlice(request *proto.Request, number uint64) {
	request.Ranged, request.Offset = true, number*uint64(f.Slice)
	request.Length, request.Cell = uint32(min(f.Slice, f.Size-sexpr.Size(request.Offset))), 0
	if f.Shared {
		plan := request.Volume >> 32
		request.DataVolumeID = volumeNumber(plan, 1)
	}
}

// sliceCount returns the number of slices of a field.
func (f *Fields) sliceCount() uint64 { return uint64((f.Size + f.Slice - 1) / f.Slice) }

// volumeNumber returns the number of a plan's volume; both parameters count from 1.
func volumeNumber(plan, volume uint64) uint64 { return plan<<32 | volume }

// Check reports invalid units of a stream, and sets defaults.
func (t *Traffic) Check() error {
	if t.Units == nil {
		t.Units = []int{1, 4}
	}
	if len(t.Units) != 2 || t.Units[0] < 1 || t.Units[0] > t.Units[1] {
		return fmt.Errorf("(units …) requires a minimum and a maximum, such as (units 1 4)")
	}
	t.Volumes, t.VolumeInstances = max(t.Volumes, 1), max(t.VolumeInstances, 1)
	return nil
}

// checkSite reports a class, plan or extents that the stream requires and the site lacks.
func (t *Traffic) checkSite(site *config.Site) error {
	if site.ClassNumber(t.Class) < 0 || site.PlanNumber(t.Plan) < 0 {
		return fmt.Errorf("traffic of class %s and plan %s: the site lacks one of them", t.Class, t.Plan)
	}
	if t.Fields != nil && site.Extents == nil {
		return fmt.Errorf("traffic of fields: the site has no (extents …)")
	}
	return nil
}
