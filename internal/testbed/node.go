package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/endpoints"
	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// Group remembers keyed operations for the nodes that drop each other's repeats.
type Group struct {
	mu   sync.Mutex
	seen map[uint64]*effect
}

// effect is what a group remembers of an operation.
type effect struct {
	at      time.Time
	settled chan struct{} // closed once the operation has taken effect, or was forgotten as it never will
}

// NewGroup remembers nothing yet.
func NewGroup() *Group { return &Group{seen: map[uint64]*effect{}} }

// admit notes operations as in progress and tells which of them the group remembers already. While one of
// them is in progress elsewhere nothing is noted: a repeat must not be answered as done before it is, so it
// has to wait for the channel returned and ask again.
func (g *Group) admit(tokens []uint64, window time.Duration) (repeats []bool, wait <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	repeats = make([]bool, len(tokens))
	for i, token := range tokens {
		e := g.seen[token]
		if e == nil || time.Since(e.at) >= window {
			continue
		}
		select {
		case <-e.settled:
			repeats[i] = true
		default:
			return nil, e.settled
		}
	}
	for i, token := range tokens {
		if !repeats[i] {
			g.seen[token] = &effect{at: time.Now(), settled: make(chan struct{})}
		}
	}
	return repeats, nil
}

// settle notes that an operation has taken effect.
func (g *Group) settle(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.seen[token]; e != nil {
		e.settle()
	}
}

// forget drops an operation that will never take effect: a repeat of it is to be done.
func (g *Group) forget(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.seen[token]; e != nil {
		delete(g.seen, token)
		e.settle()
	}
}

// settle wakes those who wait. The group's lock is held.
func (e *effect) settle() {
	select {
	case <-e.settled:
	default:
		close(e.settled)
	}
}

// Meter knows what each volume was served everywhere, period by period.
type Meter struct {
	mu     sync.Mutex
	period time.Duration
	start  time.Time
	now    map[uint64]float64
	past   map[uint64]float64
	nth    int64
}

// NewMeter counts in periods of that length; 0: never.
func NewMeter(period time.Duration) *Meter {
	return &Meter{period: period, start: time.Now(), now: map[uint64]float64{}, past: map[uint64]float64{}}
}

// served counts units and returns 1 + percent of the rate in the last finished period; 0 without a meter.
func (m *Meter) served(volume uint64, units, rate float64) uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.period <= 0 || rate <= 0 {
		return 0
	}
	if nth := int64(time.Since(m.start) / m.period); nth != m.nth {
		if nth > m.nth+1 {
			m.now = map[uint64]float64{}
		}
		m.past, m.now, m.nth = m.now, map[uint64]float64{}, nth
	}
	m.now[volume] += units
	if m.nth == 0 {
		return 0
	}
	return 1 + uint32(100*m.past[volume]/(rate*m.period.Seconds()))
}

// NodeConfig is a stand-in node.
type NodeConfig struct {
	Number int
	Cell   uint16
	Zone   uint8
	Kind   config.NodeModel
	Site   *config.Site
	List   string // address of the list service
	Addr   netip.AddrPort
	Seed   uint64
	Log    *Log
	Groups func(g scheduler.DedupScope) *Group // which group drops repeats with it
	Meter  *Meter
	Cold   bool          // its first start counts as just now, not long ago
	Ahead  time.Duration // its clock is ahead of ours by so much
}

// Node is a storage node's machine; a process of it runs while Run does. It may be run again after that.
type Node struct {
	cfg    NodeConfig
	Faults NodeFaults
	ln     net.Listener
	runs   int
	disk   disk
	ops    atomic.Uint64

	mu   sync.Mutex
	life *life
}

// NewNode makes a machine and binds its address, so that it can be told to others before it runs.
func NewNode(cfg NodeConfig) (*Node, error) {
	if !cfg.Addr.IsValid() {
		cfg.Addr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	ln, err := net.Listen("tcp4", cfg.Addr.String())
	if err != nil {
		return nil, err
	}
	cfg.Addr = ln.Addr().(*net.TCPAddr).AddrPort()
	n := &Node{cfg: cfg, ln: ln, disk: disk{blocks: map[[2]uint64][]byte{}}}
	n.Faults.rng = rand.New(rand.NewPCG(cfg.Seed, 1))
	return n, nil
}

// Addr is where the node listens, in all its lives.
func (n *Node) Addr() netip.AddrPort { return n.cfg.Addr }

// op is a request at the node.
type op struct {
	conn     *proto.Conn
	inst     int
	stream   uint64
	req      proto.Request
	members  []member
	payload  []byte          // of a write
	data     []byte          // that a read has read
	sums     []uint64        // of the members' bytes, once carried out
	nth      uint64          // of its node's operations
	ctx      context.Context // ends when it is called off
	calledBy context.CancelFunc
	state    opState // guarded by the life's lock
	noted    bool    // by its group; guarded by the life's lock
	at       time.Time
}

// only is an operation as the log tells of one of its members.
func (o *op) only(m member) *op {
	return &op{inst: o.inst, req: o.req, nth: o.nth, members: []member{m}, noted: o.noted}
}

type opState uint8

const (
	opWaits opState = iota
	opRuns
	opDropped // called off while it waited or ran: it takes no effect
	opDone
)

// life is one process.
type life struct {
	n     *Node
	boot  time.Time
	told  int64 // boot in Unix nanoseconds as the node's clock has it; 0: long ago
	cold  bool
	queue chan *op
	kill  context.CancelFunc

	mu       sync.Mutex
	rng      *rand.Rand
	draining bool
	conns    map[*proto.Conn]map[uint64]*op
	sent     []sentUnits // within the fall window
	sum      float64
	served   map[uint64]map[int]float64 // units by volume and instance, for elsewhere
	heard    map[uint64]map[int]float64 // and what each instance was told of them
	last     []uint64                   // keys
	debt     time.Duration              // deferred work
	status   chan endpoints.Endpoint
}

type sentUnits struct {
	at    time.Time
	units float64
}

// Run is one life of the node: until ctx ends, Kill, or it falls over.
func (n *Node) Run(ctx context.Context) error {
	if n.ln == nil {
		ln, err := listenAgain(ctx, n.cfg.Addr)
		if err != nil {
			return err
		}
		n.ln = ln
	}
	ln := n.ln
	n.ln = nil
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &life{n: n, boot: time.Now(), cold: n.cfg.Cold || n.runs > 0, kill: cancel,
		queue: make(chan *op, n.cfg.Kind.Queue), rng: rand.New(rand.NewPCG(n.cfg.Seed, uint64(2+n.runs))),
		conns: map[*proto.Conn]map[uint64]*op{}, served: map[uint64]map[int]float64{},
		heard: map[uint64]map[int]float64{}, status: make(chan endpoints.Endpoint, 4)}
	n.runs++
	if l.cold {
		l.told = n.cfg.Log.Now() + int64(n.cfg.Ahead)
	}
	n.mu.Lock()
	n.life = l
	n.mu.Unlock()
	l.log(Event{Kind: KindNodeStarted, StartedAt: l.told, Reason: n.cfg.Addr.String()})
	defer l.log(Event{Kind: KindNodeStopped, StartedAt: l.told})
	g, ctx := errgroup.WithContext(ctx)
	lim := proto.Limits{Header: 4 << 10, Payload: int(n.cfg.Site.Limits.MaxPayload),
		Streams: n.cfg.Site.Limits.Streams, Backlog: 64 << 20}
	cfg := proto.Config{Limits: lim, Idle: 10 * time.Minute, Gate: n.Faults.gate,
		Hello: proto.Hello{Role: "node", Number: uint32(n.cfg.Number), StartedAt: l.told}}
	g.Go(func() error { return proto.Serve(ctx, ln, cfg, n.cfg.Kind.Conns, l.session) })
	for range n.cfg.Kind.Cores {
		g.Go(func() error { return l.work(ctx) })
	}
	g.Go(func() error { return l.housekeeping(ctx) })
	g.Go(func() error { return registry.Register(ctx, n.cfg.List, cfg, l.status) })
	l.status <- l.entry(scheduler.Ready)
	return g.Wait()
}

// listenAgain binds the address of an earlier life, which the system may hold back for a moment.
func listenAgain(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	var err error
	for range 100 {
		var ln net.Listener
		if ln, err = net.Listen("tcp4", addr.String()); err == nil {
			return ln, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil, err
}

func (l *life) entry(s scheduler.Status) endpoints.Endpoint {
	server, err := registry.ServerFromAddrPort(l.n.cfg.Addr)
	if err != nil {
		panic(err) // bound as IPv4
	}
	return endpoints.Endpoint{
		Server:          server,
		Status:          s,
		Cell:            l.n.cfg.Cell,
		Zone:            l.n.cfg.Zone,
		StartedAt:       l.told,
		NominalCapacity: 1,
	}
}

func (l *life) log(e Event) {
	e.Node, e.Zone, e.Cell = l.n.cfg.Number, int(l.n.cfg.Zone), int(l.n.cfg.Cell)
	if l.n.cfg.Log != nil {
		l.n.cfg.Log.Add(e)
	}
}

// logOp notes an event of an operation, once for each of its members. Of one that is dropped as a repeat its
// end is not noted a second time.
func (l *life) logOp(k Kind, o *op, code proto.Code) {
	q := &o.req
	for i, m := range o.members {
		if m.repeat && (k == KindStart || k == KindEnd || k == KindCancel) {
			continue
		}
		e := Event{Kind: k, Instance: o.inst, Token: m.Token, Try: int(m.Try), Attempt: int(q.Attempt),
			Class: int(q.Class), Plan: int(m.Plan), Volume: m.Volume, Key: m.Key, Units: int(m.Units),
			Code: code, Write: q.Write, Client: int(m.Client), StartedAt: l.told,
			Operation: o.nth, Piece: int(m.Piece)}
		if q.Ranged {
			e.Data, e.Offset, e.Length = q.DataVolume(), q.Offset+uint64(m.Offset), uint64(m.Length)
			if k == KindEnd && i < len(o.sums) {
				e.Sum = o.sums[i]
			}
		}
		l.log(e)
	}
}

// current is the running life, nil between lives.
func (n *Node) current() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if l := n.current(); l != nil {
		l.kill()
	}
}

// Drain lets the node finish what it has and take nothing new; it tells the list and, where its kind does
// that, its connections.
func (n *Node) Drain() {
	l := n.current()
	if l == nil {
		return
	}
	l.mu.Lock()
	l.draining = true
	if n.cfg.Kind.Notices {
		for c := range l.conns {
			l.notice(c)
		}
	}
	l.mu.Unlock()
	select {
	case l.status <- l.entry(scheduler.Draining):
	default:
	}
}

func (l *life) notice(c *proto.Conn) {
	if c.Send(proto.TypeDrain, 0, nil, nil) == nil {
		l.log(Event{Kind: KindNotice, Instance: int(c.PeerHello().Number), StartedAt: l.told})
	}
}

// ResetConns breaks all connections.
func (n *Node) ResetConns() {
	if l := n.current(); l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.conns {
			c.Close(proto.ErrClosed)
		}
	}
}

func (l *life) session(ctx context.Context, c *proto.Conn) {
	inst := int(c.PeerHello().Number)
	ops := map[uint64]*op{}
	l.mu.Lock()
	l.conns[c] = ops
	if l.draining && l.n.cfg.Kind.Notices {
		l.notice(c)
	}
	l.mu.Unlock()
	// Its end is the peer's matter.
	_ = c.Run(ctx, func(f proto.Frame) error { return l.frame(ctx, c, inst, f) })
	l.mu.Lock()
	delete(l.conns, c)
	left := make([]*op, 0, len(ops))
	for _, o := range ops {
		left = append(left, o)
	}
	l.mu.Unlock()
	for _, o := range left {
		l.call(o)
		if ctx.Err() != nil {
			l.abandon(o)
		}
	}
}

// abandon takes in that the process has ended: what has not taken effect never will.
func (l *life) abandon(o *op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.state != opDone {
		o.state = opDropped
		l.forget(o)
	}
}

func (l *life) frame(ctx context.Context, c *proto.Conn, inst int, f proto.Frame) error {
	switch f.Type {
	case proto.TypeRequest:
		o := &op{conn: c, inst: inst, stream: f.Stream, at: time.Now()}
		if err := f.Decode(&o.req); err != nil {
			return err
		}
		if err := c.OpenStream(f.Stream); err != nil {
			return err
		}
		var fit bool
		if o.members, fit = members(&o.req); !fit {
			return fmt.Errorf("a member is outside its operation of %d bytes", o.req.Length)
		}
		for _, m := range o.members {
			if int(o.req.Class) >= len(l.n.cfg.Site.Classes) || int(m.Plan) >= len(l.n.cfg.Site.Plans) {
				return fmt.Errorf("class %d or plan %d is not known", o.req.Class, m.Plan)
			}
		}
		if size := uint64(o.req.Length); o.req.Ranged && (size > uint64(l.n.cfg.Site.Limits.MaxPayload) ||
			o.req.Write && size != uint64(len(f.Payload))) {
			return fmt.Errorf("an operation of %d bytes with %d bytes of payload", size, len(f.Payload))
		}
		o.payload, o.nth = f.Payload, l.n.ops.Add(1)
		o.ctx, o.calledBy = context.WithCancel(ctx)
		l.take(o)
	case proto.TypeCancel:
		l.mu.Lock()
		o := l.conns[c][f.Stream]
		l.mu.Unlock()
		var off proto.Cancel
		if len(f.Header) > 0 {
			if err := f.Decode(&off); err != nil {
				return err
			}
		}
		if o != nil {
			l.callSome(o, off.Members)
		}
	case proto.TypeHealthCheck:
		return c.Send(
			proto.TypeHealthCheckResult,
			f.Stream,
			proto.Answer{Code: proto.OK, Load: l.load()},
			nil,
		)
	default:
		return fmt.Errorf("an instance sends no frame of type %v", f.Type)
	}
	return nil
}

// call takes in that an operation is called off. What will not take effect any more is forgotten by its
// group at once: a repeat that came before the core got to it would else be dropped, and nobody would have
// done it.
func (l *life) call(o *op) {
	l.logOp(KindCancelArrived, o, 0)
	k := l.n.cfg.Kind
	l.mu.Lock()
	if o.state == opWaits && k.Drops || o.state == opRuns && k.Stops {
		o.state = opDropped
		l.forget(o)
	}
	l.mu.Unlock()
	o.calledBy()
}

// callSome takes in that some members of an operation are called off; none named: all.
func (l *life) callSome(o *op, places []uint16) {
	if len(places) == 0 {
		l.call(o)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range places {
		if int(at) >= len(o.members) {
			continue
		}
		one := o.only(o.members[at])
		l.logOp(KindCancelArrived, one, 0)
		if o.state == opWaits && l.n.cfg.Kind.Drops && !o.members[at].repeat {
			o.members[at].repeat = true // it takes no effect, and its end is noted now
			l.logOp(KindCancel, one, proto.Cancelled)
			l.forget(one)
		}
	}
}

// The lock is held.
func (l *life) forget(o *op) { l.eachNoted(o, (*Group).forget) }

// settle tells the group that an operation has taken effect.
func (l *life) settle(o *op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.eachNoted(o, (*Group).settle)
}

// eachNoted does something for each member of an operation that its group has noted. The lock is held.
func (l *life) eachNoted(o *op, do func(g *Group, token uint64)) {
	if !o.noted {
		return
	}
	for _, m := range o.members {
		if !m.repeat {
			do(l.groupOf(o), m.effect())
		}
	}
}

func (l *life) keyed(o *op) bool {
	class := l.n.cfg.Site.Classes[o.req.Class]
	return class.Idempotency == config.Idempotency(scheduler.IdempotentByKey)
}

func (l *life) groupOf(o *op) *Group {
	return l.n.cfg.Groups(scheduler.DedupScope(l.n.cfg.Site.Classes[o.req.Class].DedupScope))
}

// repeats asks the group about each member; it tells whether all of them are repeats. Where one is in
// progress elsewhere it returns what to wait for before asking again. The lock is held.
func (l *life) repeats(o *op) (all bool, wait <-chan struct{}) {
	var tokens []uint64
	var asked []*member
	for i := range o.members {
		if m := &o.members[i]; !m.repeat { // one that was called off meanwhile is over
			tokens, asked = append(tokens, m.effect()), append(asked, m)
		}
	}
	repeats, wait := l.groupOf(o).admit(tokens, l.n.cfg.Site.Classes[o.req.Class].DedupWindow)
	if wait != nil {
		return false, wait
	}
	o.noted, all = true, true
	for i, m := range asked {
		m.repeat = repeats[i]
		all = all && m.repeat
		if m.repeat {
			l.logOp(KindRepeat, o.only(member{Member: m.Member}), proto.OK)
		}
	}
	return all, nil
}

// move changes an operation's state unless it is over.
func (l *life) move(o *op, to opState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.state >= opDropped {
		return false
	}
	o.state = to
	return true
}

// take lets a request in or turns it away.
func (l *life) take(o *op) {
	l.logOp(KindArrive, o, 0)
	l.mu.Lock()
	l.conns[o.conn][o.stream] = o
	fell, draining := l.press(float64(o.req.Units)), l.draining
	l.mu.Unlock()
	switch {
	case fell:
		l.log(Event{Kind: KindCollapsed, Instance: o.inst, Token: o.req.Token, StartedAt: l.told})
		l.kill()
	case o.req.Cell >= 0 && o.req.Cell != int32(l.n.cfg.Cell):
		l.answer(o, KindNotApplicable, proto.NotApplicable)
	case draining:
		l.answer(o, KindOverloaded, proto.Overloaded)
	default:
		l.enqueue(o)
	}
}

// enqueue lets an operation wait for a core, unless it is a repeat. A repeat of what is in progress waits for
// that.
func (l *life) enqueue(o *op) {
	if l.keyed(o) {
		l.mu.Lock()
		dropped := o.state == opDropped
		all, wait := false, (<-chan struct{})(nil)
		if !dropped {
			all, wait = l.repeats(o)
		}
		l.mu.Unlock()
		switch {
		case dropped:
			l.answer(o, KindCancel, proto.Cancelled)
			return
		case wait != nil:
			go func() {
				<-wait
				l.enqueue(o)
			}()
			return
		case all:
			l.answer(o, KindRepeat, proto.OK)
			return
		}
	}
	select {
	case l.queue <- o:
	default:
		l.mu.Lock()
		l.forget(o)
		l.mu.Unlock()
		l.answer(o, KindOverloaded, proto.Overloaded)
	}
}

// capacity is the part of its work that the node can do now: it warms over the ramp.
func (l *life) capacity() float64 {
	r := l.n.cfg.Site.Rules
	if !l.cold || r.SlowStartPeriod <= 0 {
		return 1
	}
	return min(1, r.ColdFraction+(1-r.ColdFraction)*time.Since(l.boot).Seconds()/r.SlowStartPeriod.Seconds())
}

// press adds work and tells whether a cold node falls over: sent more than the stated multiple of what it
// can do now, over the stated time.
func (l *life) press(units float64) bool {
	r := l.n.cfg.Site.Rules
	if !l.cold || r.SlowStartPeriod <= 0 || time.Since(l.boot) > r.SlowStartPeriod+r.OverloadWindow {
		return false
	}
	now := time.Now()
	l.sent = append(l.sent, sentUnits{now, units})
	l.sum += units
	for now.Sub(l.sent[0].at) > r.OverloadWindow {
		l.sum -= l.sent[0].units
		l.sent = l.sent[1:]
	}
	k := l.n.cfg.Kind
	rate := float64(k.Cores) / max(k.PerUnit, 100*time.Microsecond).Seconds() * l.capacity()
	return l.sum > r.OverloadFactor*rate*r.OverloadWindow.Seconds()
}

// work is one core.
func (l *life) work(ctx context.Context) error {
	var free time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-l.queue:
			free = l.run(ctx, o, free)
		}
	}
}

// run works an operation off on a core that was free from some moment on, and returns when it is free
// again. That is reckoned, not measured: a timer that fires late must not make the node slower than it is.
func (l *life) run(ctx context.Context, o *op, free time.Time) time.Time {
	if d := l.n.Faults.still(); d > 0 {
		sleep(ctx, d)
		free = time.Now()
	}
	if ctx.Err() != nil {
		return free
	}
	if !l.move(o, opRuns) {
		l.answer(o, KindCancel, proto.Cancelled)
		return free
	}
	l.logOp(KindStart, o, 0)
	running := ctx
	if l.n.cfg.Kind.Stops {
		running = o.ctx
	}
	if free.Before(o.at) {
		free = o.at
	}
	free = free.Add(l.duration(o))
	if !sleep(running, time.Until(free)) {
		free = time.Now()
	}
	switch {
	case ctx.Err() != nil:
	case l.move(o, opDone):
		o.data = l.carry(o)
		l.settle(o)
		l.answer(o, KindEnd, proto.OK)
	default:
		l.answer(o, KindCancel, proto.Cancelled)
	}
	return free
}

// sleep waits; false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// duration is how long an operation takes on one core now.
func (l *life) duration(o *op) time.Duration {
	k := l.n.cfg.Kind
	l.mu.Lock()
	defer l.mu.Unlock()
	work := float64(k.PerOperation) + float64(k.PerUnit)*float64(o.req.Units)
	work *= (1 + k.Jitter*(2*l.rng.Float64()-1)) * float64(max(1, o.req.WorkFactor))
	if o.req.Write {
		work *= k.WritePer
		l.debt += time.Duration(work * k.Deferred)
		work *= 1 - k.Deferred
	}
	if o.req.Key != 0 && k.Last > 0 {
		if slices.Contains(l.last, o.req.Key) && o.req.Attempt == 0 {
			work *= 1 - k.Again
		}
		l.last = append(l.last, o.req.Key)
		l.last = l.last[max(0, len(l.last)-k.Last):]
	}
	return time.Duration(work * l.n.Faults.factor() / l.capacity())
}

// answer ends an operation and writes its answer, unless the faults have it otherwise.
func (l *life) answer(o *op, kind Kind, code proto.Code) {
	if kind != KindRepeat { // noted for each member by itself
		l.logOp(kind, o, code)
	}
	l.mu.Lock()
	a := proto.Answer{Code: code, Load: l.loadLocked()}
	for i, m := range o.members {
		if code != proto.OK {
			break
		}
		metered := l.n.cfg.Meter.served(m.Volume, float64(m.Units), l.n.cfg.Site.Plans[m.Plan].Rate)
		elsewhere := uint32(0)
		if l.n.cfg.Site.ReportsElsewhere {
			elsewhere = l.elsewhere(m.Volume, o.inst, float64(m.Units), i == 0)
		}
		if i == 0 { // what is told of volumes concerns the lead's
			a.MeteredRate, a.ElsewhereUnits = metered, elsewhere
		}
	}
	a.Cell = 1 + int32(l.n.cfg.Cell)
	l.mu.Unlock()
	o.calledBy()
	var payload []byte
	switch {
	case o.req.Ranged:
		payload = o.data
	case code == proto.OK && !o.req.Write && l.n.cfg.Kind.Bytes > 0:
		payload = make([]byte, l.n.cfg.Kind.Bytes*int(o.req.Units))
	}
	switch l.n.Faults.answer() {
	case fateLose:
		return // it stays known, so that its being called off is logged
	case fateCorrupt:
		o.conn.Raw([]byte("this is no frame, and nothing that follows on this connection is one either"))
		return
	}
	l.mu.Lock()
	delete(l.conns[o.conn], o.stream)
	l.mu.Unlock()
	o.conn.CloseStream(o.stream)
	if o.conn.Send(proto.TypeAnswer, o.stream, a, payload) != nil {
		l.logOp(
			KindCancelArrived,
			o,
			code,
		) // its connection ended just now: for the instance the attempt is over
		return
	}
	l.logOp(KindReplied, o, code)
}

// elsewhere counts units served and, where that is told, what others were served of the volume since this
// instance last heard.
func (l *life) elsewhere(volume uint64, inst int, units float64, told bool) uint32 {
	by := l.served[volume]
	if by == nil {
		by = map[int]float64{}
		l.served[volume], l.heard[volume] = by, map[int]float64{}
	}
	by[inst] += units
	if !told {
		return 0
	}
	others := 0.0
	for i, u := range by {
		if i != inst {
			others += u
		}
	}
	since := others - l.heard[volume][inst]
	l.heard[volume][inst] = others
	return uint32(max(0, since))
}

func (l *life) load() []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadLocked()
}

// loadLocked is the load report: what the site's settings name, of what this node knows.
func (l *life) loadLocked() []float64 {
	var out []float64
	for _, field := range l.n.cfg.Site.LoadFields {
		switch field {
		case "q":
			out = append(out, float64(len(l.queue)))
		default:
			out = append(out, float64(l.n.cfg.Kind.PerUnit.Milliseconds())*l.n.Faults.factor())
		}
	}
	return out
}

// housekeeping stands still now and then, and does the work that was put off.
func (l *life) housekeeping(ctx context.Context) error {
	k := l.n.cfg.Kind
	next := func(every time.Duration) <-chan time.Time {
		if every <= 0 {
			return nil
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return time.After(every/2 + time.Duration(l.rng.Int64N(int64(every))))
	}
	pause, flush := next(k.Every), next(k.Flush)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-pause:
			l.n.Faults.Still(k.Pause)
			pause = next(k.Every)
		case <-flush:
			l.mu.Lock()
			debt := l.debt
			l.debt = 0
			l.mu.Unlock()
			l.n.Faults.Still(debt / time.Duration(k.Cores))
			flush = next(k.Flush)
		}
	}
}
