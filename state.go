package forkhead

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// neverListed as the time of a list entry is so long ago that all our attempts count as not shown in it.
const neverListed = -changeHistory

// Placer makes the decisions of one placer. It is not safe for concurrent use.
type Placer struct {
	settings  Settings
	rng       *rand.Rand
	now       time.Duration
	started   bool          // the first step has been made
	startedAt time.Duration // when
	actions   []Action      // of this step

	machines map[MachineID]*machine
	pools    []*pool // by machine type
	tasks    map[TaskID]*task
	services map[uint64][]*attempt // live attempts of each service

	reservedCores map[int]float64 // requested by our live attempts of each tenant
	queue         []*task         // to be offered; ended ones are dropped in placeQueued
	candidates    []*machine      // buffer of selectInGroup

	retryTimerSet     bool // the queue's timer is set
	membershipChanged bool // machines were added or removed
	capacityChanged   bool // capacity may have come up

	saturationThreshold float64 // cores busy up to this share serve every class in full
	coreUsage           usageRatio
	memoryUsage         usageRatio
	listPolling         pollState
	viewLag             lagEstimator
	startTimeP95        time.Duration    // from offer to bind, of the slowest twentieth
	outlierGossipBudget float64          // what gossip about outliers may still cost, in the unit of Costs times tasks
	pendingGossip       []capacityChange // of this step
}

// lagEstimator learns by which lag the changes that the list shows match our own binds and ends best.
type lagEstimator struct {
	errors [len(viewLags)]float64 // in cores, decayed
	best   int                    // index of the lag with the least error
}

// pool is the machines of one type and the sizes of the tasks that were requested of them.
type pool struct {
	order []*machine // by the fixed hash of their ids
	sizes sizeHistogram
}

// sizeHistogram holds the load of each size: the requested cores of the tasks of that size, decayed.
type sizeHistogram struct {
	load  [sizeBuckets]float64
	total float64
}

// The buckets of a histogram, 16 for each doubling of the size, from 2^-6 cores up.
const (
	sizeBuckets      = 256
	bucketsPerDouble = 16
	firstSizeLog2    = -6
)

func sizeBucket(size float64) int {
	bucket := int(math.Round(bucketsPerDouble*math.Log2(size))) - bucketsPerDouble*firstSizeLog2
	return min(max(bucket, 0), sizeBuckets-1)
}

// group returns the machines of interval i of n: equal runs of the order.
func (pool *pool) group(i, n int) []*machine {
	return pool.order[i*len(pool.order)/n : (i+1)*len(pool.order)/n]
}

// usageRatio learns how much of what is requested is used.
type usageRatio struct{ used, requested float64 }

// pollState is the state of polling the list, where it is not watched.
type pollState struct {
	awaitingReply bool
	failures      int    // in a row
	currentTimer  uint32 // the number of the one timer that counts
}

// machine is what a placer knows of a machine.
type machine struct {
	Machine                 // the latest list entry
	derating  float64       // the share taken off what it is given at deratedAt
	deratedAt time.Duration // when its tasks were last served poorly
	hash      uint64        // of its id
	listedAt  time.Duration // when the latest list entry came

	// Our tasks there, and those of other placers.
	reservedCores   float64 // requested by our live attempts
	reservedMemory  float64
	attempts        []*attempt       // live, and bound ones that ended within changeHistory
	starting        int              // our attempts whose task does not run yet
	peerChanges     []capacityChange // at most maxPeerChanges
	cachedPrograms  []uint32         // taken to be there beside our tasks, the latest last; at most maxCachedPrograms
	slowStartOffers []time.Duration  // when ours were sent

	// Its health.
	failures     int // probes and connections in a row
	suspectUntil time.Duration
	probing      bool
	answeredAt   time.Duration
	outliers     []outlierState // by class; nil until one fails

	// The estimate of what is available there.
	rejectedAt      time.Duration // when a rejection showed that less is available than listed
	unlistedCores   float64       // by how much
	unlistedMemory  float64
	availableCores  float64 // what available last returned
	availableMemory float64
	availableAt     time.Duration
	availableStale  bool

	// Whether it is used.
	backoffUntil time.Duration // its queue of offers was full, or it serves a task poorly
	standby      bool          // nothing new while others have capacity
	removedAt    time.Duration // when rebuildPools found it removed from the list; 0: it is listed
}

// task is a placement request, until its final answer and the end of its last attempt.
type task struct {
	Task
	deadline     time.Duration
	pool         int // index of its machine type's pool
	attempts     []*attempt
	pending      bool          // a final answer is due
	backoffUntil time.Duration // rejected, not to be offered before
	firstMayRun  *attempt      // the first attempt that may have run
}

// attempt is one offer of a task to a machine.
type attempt struct {
	task         *task
	machine      *machine
	number       int // among those of the task, from 0
	sentAt       time.Duration
	endedAt      time.Duration
	bound        bool // its machine has bound the task
	running      bool // the task runs
	ended        bool
	unresponsive bool // counted as one that its machine leaves unanswered
	errored      bool // its machine returned an error
}

// outlierState is what is known of a class that a machine leaves unanswered or returns errors for.
type outlierState struct{ failedAt, ejectedUntil time.Duration }

// New returns a placer for the settings, or an error that names the field it cannot use. Placers with the
// same settings, seed and events make the same decisions.
func New(settings Settings, seed uint64) (*Placer, error) {
	if err := validateSettings(&settings); err != nil {
		return nil, fmt.Errorf("forkhead: %w", err)
	}
	p := &Placer{
		settings: settings,
		rng:      rand.New(rand.NewPCG(seed, pcgStream)),

		machines:      map[MachineID]*machine{},
		tasks:         map[TaskID]*task{},
		services:      map[uint64][]*attempt{},
		reservedCores: map[int]float64{},

		startTimeP95: initialStartTimeP95,
		viewLag:      lagEstimator{best: initialLag},
	}
	p.saturationThreshold = settings.Classes[0].SaturationThreshold
	for _, class := range settings.Classes {
		p.saturationThreshold = min(p.saturationThreshold, class.SaturationThreshold) // a machine holds them all
	}
	for range settings.MachineTypes {
		p.pools = append(p.pools, &pool{})
	}
	return p, nil
}

const pcgStream = 0x9e3779b97f4a7c15
