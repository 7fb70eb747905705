package testbed

import (
	"fmt"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/sexpr"
)

// Traffic is one stream of requests: of one class, by the volumes of one plan.
type Traffic struct {
	Class      string  `s:"class,required"`
	Plan       string  `s:"plan,required"`
	Rate       float64 `s:"rate,required" min:"0.1" max:"100000"` // requests a second
	Volumes    int     `s:"volumes" min:"1" max:"100000"`
	Units      []int   `s:"units"` // least and most of a request
	Keys       int     `s:"keys" min:"0" max:"1000000"`
	NewObjects bool    `s:"new-objects"`               // writes create objects, reads are for some of those
	HotShare   float64 `s:"hot" min:"0" max:"1"`       // part of it that goes to the first volume
	Writers    int     `s:"writers" min:"1" max:"512"` // instances that a volume comes through
	Fields     *Fields `s:"fields"`
}

// Fields make a stream ask for bytes of fields, one field a volume, slice by slice: at random places at the
// stream's rate, or with a run all slices at the same moment.
type Fields struct {
	Size   sexpr.Size    `s:"size,required" min:"1B" max:"1GiB"`
	Slice  sexpr.Size    `s:"slice,required" min:"1B" max:"64MiB"`
	Shared bool          `s:"shared"`                   // all volumes read the first one's field
	Run    time.Duration `s:"run" min:"0s" max:"10m"`   // so often all slices are asked for; 0: at random
	Spread time.Duration `s:"spread" min:"0s" max:"1m"` // within so long
}

// setSlice makes a request one for a slice of its field.
func (f *Fields) setSlice(request *proto.Request, number uint64) {
	request.Ranged, request.Offset = true, number*uint64(f.Slice)
	request.Length, request.Cell = uint32(min(f.Slice, f.Size-sexpr.Size(request.Offset))), 0
	if f.Shared {
		plan := request.Volume >> 32
		request.DataVolumeID = volumeNumber(plan, 1)
	}
}

// slices is how many a field has.
func (f *Fields) slices() uint64 { return uint64((f.Size + f.Slice - 1) / f.Slice) }

// volumeNumber is the number of a plan's volume; both count from 1.
func volumeNumber(plan, volume uint64) uint64 { return plan<<32 | volume }

// Check reports what does not fit together in a stream, and sets defaults.
func (t *Traffic) Check() error {
	if t.Units == nil {
		t.Units = []int{1, 4}
	}
	if len(t.Units) != 2 || t.Units[0] < 1 || t.Units[0] > t.Units[1] {
		return fmt.Errorf("(units …) wants the least and the most, as (units 1 4)")
	}
	t.Volumes, t.Writers = max(t.Volumes, 1), max(t.Writers, 1)
	return nil
}

// checkSite reports what a site lacks for a stream.
func (t *Traffic) checkSite(site *config.Site) error {
	if site.ClassNumber(t.Class) < 0 || site.PlanNumber(t.Plan) < 0 {
		return fmt.Errorf("traffic of class %s and plan %s: the site lacks one of them", t.Class, t.Plan)
	}
	if t.Fields != nil && site.Extents == nil {
		return fmt.Errorf("traffic of fields: the site has no (extents …)")
	}
	return nil
}
