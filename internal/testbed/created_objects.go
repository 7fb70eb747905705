package testbed

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// At most maxObjects are stored per plan; beyond that only the latest keptObjects are kept.
const (
	maxObjects  = 512
	keptObjects = 256
)

// object identifies data that a write created, and the cell that stores it.
type object struct {
	key  uint64
	cell int
}

// createdObjects stores the objects that writes created, so that reads can request them.
type createdObjects struct {
	mu     sync.Mutex
	byPlan map[int][]object
}

func newCreatedObjects() *createdObjects { return &createdObjects{byPlan: map[int][]object{}} }

func (c *createdObjects) add(plan int, created object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	objects := append(c.byPlan[plan], created)
	if len(objects) > maxObjects {
		objects = slices.Clone(objects[len(objects)-keptObjects:])
	}
	c.byPlan[plan] = objects
}

// draw returns a random object of a plan, or false if there is none.
func (c *createdObjects) draw(plan int, rng *rand.Rand) (object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	objects := c.byPlan[plan]
	if len(objects) == 0 {
		return object{}, false
	}
	return objects[rng.IntN(len(objects))], true
}
