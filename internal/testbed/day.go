package testbed

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/endpoints"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
)

// Options are how a day is played.
type Options struct {
	Seed  uint64
	Dir   string // for kept lists
	Log   *slog.Logger
	Hooks daemon.Hooks // beside the laboratory's own
}

// mostOpen bounds requests in hand of all clients; traffic over it is not asked, and counted.
const mostOpen = 20_000

// Played is what a day left behind.
type Recording struct {
	Events     []Event
	Suppressed int64
	CPU        time.Duration // that this process took while traffic lasted
}

// cpuTime is what this process has used so far.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// player runs one day.
type player struct {
	day   *Scenario
	opt   Options
	log   *Log
	nodes []*Node
	insts []*host
	list  *registry.Server
	addrs []string
	byAdr map[netip.AddrPort]int
	cl    []*Client

	mu        sync.Mutex
	surges    []surge
	heavy     []heavySpell
	impatient []impatientSpell
	shift     map[uint64]int // volumes whose busiest instance has changed, and by how much
	placed    map[int][]placedKey
	token     atomic.Uint64
	open      atomic.Int64
	notAsked  atomic.Int64
}

type (
	surge struct {
		plan, volumes int // plan -1: all; volumes 0: all
		times         float64
		till          time.Time
	}
	heavySpell struct {
		share float64
		times int
		till  time.Time
	}
	impatientSpell struct {
		share float64
		wait  time.Duration
		till  time.Time
	}
	placedKey struct {
		key  uint64
		cell int
	}
)

// host is one instance's machine: its address outlasts the process.
type host struct {
	n      int
	addr   string
	ln     net.Listener
	gate   gate
	mu     sync.Mutex
	cancel context.CancelFunc
}

// gate holds a process up while it is closed.
type gate struct {
	mu   sync.Mutex
	till time.Time
}

func (g *gate) pass() {
	for {
		g.mu.Lock()
		d := time.Until(g.till)
		g.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

func (g *gate) close(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.till = time.Now().Add(d)
}

// Play runs a day on loopback sockets: instances, nodes, list service and clients in this process.
func RunScenario(ctx context.Context, day *Scenario, opt Options) (*Recording, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	p := &player{day: day, opt: opt, log: NewLog(), byAdr: map[netip.AddrPort]int{}, shift: map[uint64]int{},
		placed: map[int][]placedKey{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	if err := p.build(ctx, g); err != nil {
		cancel()
		_ = g.Wait() // the error that is told is the first one
		return nil, err
	}
	g.Go(func() error { return p.pulse(ctx) })
	// The fleet comes up, then traffic and troubles start together.
	sleep(ctx, 2*day.List.Delay+300*time.Millisecond)
	start, cpu := time.Now(), cpuTime()
	traffic, stopTraffic := context.WithDeadline(ctx, start.Add(day.Length))
	defer stopTraffic()
	var streams errgroup.Group
	for i := range day.Traffic {
		streams.Go(func() error { return p.stream(ctx, traffic, i) })
	}
	for i := range day.Faults {
		g.Go(func() error {
			t := &day.Faults[i]
			if sleep(traffic, time.Until(start.Add(t.At))) {
				p.trouble(ctx, traffic, g, t)
			}
			return nil
		})
	}
	_ = streams.Wait() // streams end with their traffic, not with errors
	played := &Recording{Suppressed: p.notAsked.Load(), CPU: cpuTime() - cpu}
	for _, c := range p.cl {
		c.Close()
	}
	cancel()
	err := g.Wait()
	if context.Cause(ctx) == context.Canceled {
		err = nil
	}
	played.Events = p.log.Events()
	return played, err
}

// build makes the fleet: the list service, the nodes, the instances, the clients.
func (p *player) build(ctx context.Context, g *errgroup.Group) error {
	d := p.day
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.list = registry.NewServer(registry.ServerConfig{Epoch: 1 + p.opt.Seed, Delay: d.List.Delay,
		Workers: d.List.Workers, CallTime: d.List.CallTime, MaxWait: d.List.MaxWait, OnAcknowledged: p.told})
	g.Go(func() error { return p.list.Serve(ctx, ln) })
	groups, meter := newDedupGroups(), NewMeter(d.Site.MeterPeriod)
	for i := range d.Nodes.Count {
		zone := uint8(i % len(d.Site.Zones))
		n, err := NewNode(NodeConfig{Number: i, Cell: uint16(i), Zone: zone, Model: d.Nodes.Kind,
			Site: &d.Site, Registry: ln.Addr().String(), Seed: p.opt.Seed + uint64(i)*7919, Log: p.log,
			Meter: meter, DedupGroups: groups.forNode(zone, uint16(i)), ClockAhead: d.Nodes.Ahead})
		if err != nil {
			return err
		}
		p.nodes = append(p.nodes, n)
		p.byAdr[n.Addr()] = i
		p.runNode(ctx, g, n)
	}
	for i := range d.Instances {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p.insts = append(p.insts, &host{n: i, addr: ln.Addr().String(), ln: ln})
		p.addrs = append(p.addrs, ln.Addr().String())
	}
	for _, h := range p.insts {
		if err := p.up(ctx, g, h, ln.Addr().String()); err != nil {
			return err
		}
	}
	habit := ClientBehavior{
		d.Clients.Retries,
		d.Clients.RetryDelay,
		d.Clients.HonorRetryAfter,
		d.Clients.FailOver,
	}
	for i := range d.Clients.Count {
		p.cl = append(p.cl, NewClient(i, p.log, p.addrs, habit))
	}
	return nil
}

func (p *player) told(inst uint32, e endpoints.Endpoint) {
	node, ok := p.byAdr[registry.AddrPortOf(e.Server)]
	if !ok {
		return
	}
	p.log.Add(Event{Kind: KindAcknowledged, Instance: int(inst), Node: node, Status: e.Status.String(),
		StartedAt: e.StartedAt})
}

func (p *player) runNode(ctx context.Context, g *errgroup.Group, n *Node) {
	g.Go(func() error {
		if err := n.Run(ctx); err != nil && ctx.Err() == nil {
			p.opt.Log.Warn("node ended", "node", n.cfg.Number, "error", err)
		}
		return nil
	})
}

// up starts an instance's process.
func (p *player) up(ctx context.Context, g *errgroup.Group, h *host, list string) error {
	ln := h.ln
	h.ln = nil
	if ln == nil {
		var err error
		if ln, err = listenAgain(ctx, netip.MustParseAddrPort(h.addr)); err != nil {
			return err
		}
	}
	hooks := p.opt.Hooks
	hooks.Gate = h.gate.pass
	inst, err := daemon.New(daemon.Config{Number: h.n, Instances: p.day.Instances,
		Seed: p.opt.Seed*1000003 + uint64(h.n), Zone: uint8(h.n % len(p.day.Site.Zones)), Site: p.day.Site,
		Listener: ln, Registry: list,
		Snapshot:        registry.SnapshotFile{Path: filepath.Join(p.opt.Dir, fmt.Sprintf("list-%d", h.n))},
		ShutdownTimeout: 5 * time.Second, Log: p.opt.Log, Hooks: hooks})
	if err != nil {
		ln.Close()
		return err
	}
	life, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.cancel = cancel
	h.mu.Unlock()
	p.log.Add(Event{Kind: KindInstanceStarted, Instance: h.n})
	g.Go(func() error {
		defer cancel()
		if err := inst.Run(life); err != nil && life.Err() == nil {
			return fmt.Errorf("instance %d: %w", h.n, err)
		}
		return nil
	})
	return nil
}

// crash kills an instance and starts it again after a while.
func (p *player) crash(ctx, traffic context.Context, g *errgroup.Group, n int, back time.Duration) {
	h := p.insts[n]
	h.mu.Lock()
	p.log.Add(Event{Kind: KindInstanceKilled, Instance: n})
	h.cancel()
	h.mu.Unlock()
	if back <= 0 || !sleep(traffic, back) {
		return
	}
	if err := p.up(ctx, g, h, p.nodes[0].cfg.Registry); err != nil && ctx.Err() == nil {
		p.opt.Log.Warn("instance not back", "instance", n, "error", err)
	}
}

// pulse notes when the whole laboratory stood still: a machine short of CPU is no fault of the scheduler.
func (p *player) pulse(ctx context.Context) error {
	const every, over = 10 * time.Millisecond, 30 * time.Millisecond
	for {
		before := time.Now()
		if !sleep(ctx, every) {
			return nil
		}
		if took := time.Since(before); took > over {
			p.log.Add(Event{Kind: KindProcessStalled, Wait: int64(took)})
		}
	}
}

// ---- Traffic ----

// stream asks at its rate for as long as traffic lasts, and waits for all that it has asked.
func (p *player) stream(ctx, traffic context.Context, n int) error {
	t := &p.day.Traffic[n]
	rng := rand.New(rand.NewPCG(p.opt.Seed, uint64(1000+n)))
	var wg sync.WaitGroup
	defer wg.Wait()
	if t.Fields != nil && t.Fields.Run > 0 {
		p.runs(ctx, traffic, &wg, t, rng)
		return nil
	}
	next := time.Now()
	for traffic.Err() == nil {
		volume := rng.IntN(t.Volumes)
		if rng.Float64() < t.Hot {
			volume = 0
		}
		times, most := p.times(t, volume), p.mostTimes(t)
		// Thinned from the highest rate, so that surges of few volumes add to those alone.
		next = next.Add(time.Duration(rng.ExpFloat64() / (t.Rate * most) * float64(time.Second)))
		if !sleep(traffic, time.Until(next)) {
			return nil
		}
		if rng.Float64()*most > times {
			continue
		}
		q, insts, patience, ok := p.draw(t, volume, rng)
		if !ok {
			continue
		}
		if t.Fields != nil {
			t.Fields.at(&q, rng.Uint64N(t.Fields.slices()))
		}
		p.ask(ctx, &wg, q, insts, patience)
	}
	return nil
}

// ask lets a client ask, unless too much is in hand.
func (p *player) ask(ctx context.Context, wg *sync.WaitGroup, q proto.Request, insts []int,
	patience time.Duration) {
	if p.open.Add(1) > mostOpen {
		p.open.Add(-1)
		p.notAsked.Add(1)
		return
	}
	wg.Go(func() {
		defer p.open.Add(-1)
		c := p.cl[(q.Volume+q.Key)%uint64(len(p.cl))]
		r := c.Do(ctx, q, insts, patience)
		if r.Code == proto.OK && q.Write && q.Cell < 0 && r.Cell >= 0 {
			p.place(int(q.Plan), placedKey{q.Key, r.Cell})
		}
	})
}

// runs asks again and again for all slices of all fields within a moment, as product jobs do when a model
// run ends.
func (p *player) runs(ctx, traffic context.Context, wg *sync.WaitGroup, t *Traffic, rng *rand.Rand) {
	type job struct {
		after    time.Duration
		q        proto.Request
		insts    []int
		patience time.Duration
	}
	for start := time.Now(); traffic.Err() == nil; start = start.Add(t.Fields.Run) {
		var jobs []job
		for volume := range t.Volumes {
			for n := range t.Fields.slices() {
				q, insts, patience, ok := p.draw(t, volume, rng)
				if !ok {
					continue
				}
				t.Fields.at(&q, n)
				jobs = append(jobs, job{time.Duration(rng.Int64N(int64(t.Fields.Spread) + 1)), q, insts,
					patience})
			}
		}
		slices.SortStableFunc(jobs, func(a, b job) int { return cmp.Compare(a.after, b.after) })
		for _, j := range jobs {
			if !sleep(traffic, time.Until(start.Add(j.after))) && traffic.Err() != nil {
				return
			}
			p.ask(ctx, wg, j.q, j.insts, j.patience)
		}
		if !sleep(traffic, time.Until(start.Add(t.Fields.Run))) && traffic.Err() != nil {
			return
		}
	}
}

// times is how many times its usual traffic a volume asks for now.
func (p *player) times(t *Traffic, volume int) float64 {
	out := 1.0
	p.eachSurge(t, func(s surge) {
		if s.volumes == 0 || volume < s.volumes {
			out *= s.times
		}
	})
	return out
}

func (p *player) mostTimes(t *Traffic) float64 {
	out := 1.0
	p.eachSurge(t, func(s surge) { out *= max(1, s.times) })
	return out
}

func (p *player) eachSurge(t *Traffic, f func(surge)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surges = slices.DeleteFunc(p.surges, func(s surge) bool { return time.Now().After(s.till) })
	for _, s := range p.surges {
		if s.plan < 0 || s.plan == p.day.Site.PlanNumber(t.Plan) {
			f(s)
		}
	}
}

// draw makes a request of a stream.
func (p *player) draw(t *Traffic, volume int, rng *rand.Rand) (q proto.Request, insts []int,
	patience time.Duration, ok bool) {
	site := &p.day.Site
	class, plan := site.ClassNumber(t.Class), site.PlanNumber(t.Plan)
	id := uint64(plan+1)<<32 | uint64(volume+1)
	c := site.Classes[class]
	q = proto.Request{Token: p.token.Add(1), Class: uint16(class), Plan: uint16(plan), Volume: id,
		Timeout: c.Deadline,
		Units:   uint32(t.Units[0] + rng.IntN(t.Units[1]-t.Units[0]+1)), Write: c.Writes,
		VolumeInstances: uint16(min(t.Writers, p.day.Instances))}
	switch {
	case t.New && c.Writes:
		q.Cell, q.Key = proto.NewObject, q.Token
	case t.New:
		p.mu.Lock()
		known := p.placed[plan]
		if len(known) == 0 {
			p.mu.Unlock()
			return q, nil, 0, false
		}
		k := known[rng.IntN(len(known))]
		p.mu.Unlock()
		q.Key, q.Cell = k.key, int32(k.cell)
	default:
		if t.Keys > 0 {
			q.Key = id<<20 | uint64(1+rng.IntN(t.Keys))
		}
		q.Cell = int32(mix(id^q.Key) % uint64(len(p.nodes)))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, h := range p.heavy {
		if now.Before(h.till) && rng.Float64() < h.share {
			q.WorkFactor = uint32(h.times)
		}
	}
	for _, s := range p.impatient {
		if now.Before(s.till) && rng.Float64() < s.share {
			patience = s.wait
		}
	}
	first := int(id) + p.shift[id]
	if q.VolumeInstances > 1 && rng.Float64() > 0.6 {
		first += 1 + rng.IntN(int(q.VolumeInstances)-1)
	}
	for i := range int(q.VolumeInstances) {
		insts = append(insts, (int(id)+(first-int(id)+i)%int(q.VolumeInstances))%p.day.Instances)
	}
	return q, insts, patience, true
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

func (p *player) place(plan int, k placedKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed[plan] = append(p.placed[plan], k)
	if n := len(p.placed[plan]); n > 512 {
		p.placed[plan] = slices.Clone(p.placed[plan][n-256:])
	}
}

// ---- Troubles ----

// trouble plays one trouble to its end, or to the end of the traffic.
func (p *player) trouble(ctx, traffic context.Context, g *errgroup.Group, t *Fault) {
	each := func(nodes []int, d time.Duration, start, end func(*Node)) {
		for _, n := range nodes {
			start(p.nodes[n])
		}
		sleep(traffic, d)
		for _, n := range nodes {
			end(p.nodes[n])
		}
	}
	again := func(nodes []int, back time.Duration) {
		for _, n := range nodes {
			p.nodes[n].Kill()
		}
		if back > 0 && sleep(traffic, back) {
			for _, n := range nodes {
				p.runNode(ctx, g, p.nodes[n])
			}
		}
	}
	none := func(*Node) {}
	switch {
	case t.Crash != nil:
		for _, n := range t.Crash.Instances {
			g.Go(func() error { p.crash(ctx, traffic, g, n, t.Crash.Back); return nil })
		}
	case t.Roll != nil:
		for n := range p.insts {
			p.crash(ctx, traffic, g, n, t.Roll.Back)
			if !sleep(traffic, t.Roll.Every) {
				return
			}
		}
	case t.Stall != nil:
		for _, n := range t.Stall.Instances {
			p.log.Add(Event{Kind: KindInstanceStalled, Instance: n, Wait: int64(t.Stall.For)})
			p.insts[n].gate.close(t.Stall.For)
		}
	case t.Burst != nil:
		p.surge(t.Burst, -1)
	case t.Surge != nil:
		p.surge(t.Surge, p.day.Site.PlanNumber(t.Surge.Plan))
	case t.Heavy != nil:
		p.mu.Lock()
		p.heavy = append(p.heavy, heavySpell{t.Heavy.Share, t.Heavy.Times, time.Now().Add(t.Heavy.For)})
		p.mu.Unlock()
	case t.Impatient != nil:
		p.mu.Lock()
		p.impatient = append(p.impatient, impatientSpell{t.Impatient.Share, t.Impatient.Wait,
			time.Now().Add(t.Impatient.For)})
		p.mu.Unlock()
	case t.Slow != nil:
		each(t.Slow.Nodes, t.Slow.For, func(n *Node) { n.Faults.SetSlow(t.Slow.Times) },
			func(n *Node) { n.Faults.SetSlow(1) })
	case t.Neighbour != nil:
		x := t.Neighbour
		each(x.Nodes, x.For, func(n *Node) { n.Faults.SetNeighbour(x.Share, x.On, x.Off) },
			func(n *Node) { n.Faults.SetNeighbour(0, 0, 0) })
	case t.StaleList != nil:
		p.list.SetDelay(t.StaleList.Delay)
		sleep(traffic, t.StaleList.For)
		p.list.SetDelay(p.day.List.Delay)
	case t.ListDown != nil:
		p.list.SetDown(true)
		sleep(traffic, t.ListDown.For)
		p.list.SetDown(false)
	case t.Reconnect != nil:
		p.reconnect(t.Reconnect.Share)
	case t.MassRestart != nil:
		var nodes []int
		for n, node := range p.nodes {
			if int(node.cfg.Zone) == p.day.Site.Zone(t.MassRestart.Zone) {
				nodes = append(nodes, n)
			}
		}
		again(nodes, t.MassRestart.Back)
	case t.KillNode != nil:
		again(t.KillNode.Nodes, t.KillNode.Back)
	case t.Drain != nil:
		each(t.Drain.Nodes, t.Drain.Ends, func(n *Node) { n.Drain() }, none)
		if t.Drain.Ends > 0 {
			again(t.Drain.Nodes, t.Drain.Back)
		}
	case t.Lose != nil:
		each(t.Lose.Nodes, t.Lose.For, func(n *Node) { n.Faults.SetLoseAnswers(t.Lose.Share) },
			func(n *Node) { n.Faults.SetLoseAnswers(0) })
	case t.Hang != nil:
		each(t.Hang.Nodes, t.Hang.For, func(n *Node) { n.Faults.SetHang(true) },
			func(n *Node) { n.Faults.SetHang(false) })
	case t.Reset != nil:
		each(t.Reset.Nodes, 0, (*Node).ResetConns, none)
	case t.Corrupt != nil:
		each(t.Corrupt.Nodes, 0, func(n *Node) { n.Faults.CorruptAnswers(1) }, none)
	case t.Stuck != nil:
		each(t.Stuck.Nodes, 0, func(n *Node) {
			p.log.Add(Event{Kind: KindConnectionsStuck, Node: n.cfg.Number, Wait: int64(t.Stuck.For)})
			n.Faults.StickConnections(t.Stuck.For)
		}, none)
	case t.Still != nil:
		each(t.Still.Nodes, 0, func(n *Node) { n.Faults.Pause(t.Still.For) }, none)
	}
}

func (p *player) surge(s *Surge, plan int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surges = append(p.surges, surge{plan, s.Volumes, s.Times, time.Now().Add(s.For)})
}

func (p *player) reconnect(share float64) {
	p.mu.Lock()
	for _, t := range p.day.Traffic {
		plan := p.day.Site.PlanNumber(t.Plan)
		for v := range t.Volumes {
			if id := uint64(plan+1)<<32 | uint64(v+1); float64(mix(id)%1000) < 1000*share {
				p.shift[id]++
			}
		}
	}
	p.mu.Unlock()
	for _, c := range p.cl[:int(share*float64(len(p.cl)))] {
		c.Reconnect()
	}
}
