package forkhead

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// neverListed is used as the time of a list entry without available amounts. It is so long ago that all
// attempts of this placer count as newer than the entry.
const neverListed = -changeHistory

// Placer holds the state of one placer and makes its decisions. It is not safe for concurrent use.
type Placer struct {
	settings  Settings
	rng       *rand.Rand
	now       time.Duration
	started   bool          // the first Step has been called
	startedAt time.Duration // time of the first Step
	actions   []Action      // the actions that the current Step returns

	machines map[MachineID]*machine
	pools    []*pool // by machine type
	tasks    map[TaskID]*task
	services map[uint64][]*attempt // live attempts of each service

	reservedCores map[int]float64 // cores requested by this placer's live attempts, by tenant
	queue         []*task         // tasks that wait for capacity; placeQueued removes ended tasks
	candidates    []*machine      // buffer of selectInGroup

	retryTimerSet     bool // the retry timer of the queue is set
	membershipChanged bool // machines were added or removed
	capacityChanged   bool // capacity may have become available

	saturationThreshold float64 // share of busy cores up to which all classes are served in full
	coreUsage           usageRatio
	memoryUsage         usageRatio
	listPolling         pollState
	listLag             lagEstimator
	startTimeP95        time.Duration    // estimate of the 95th percentile of the time from offer to bind
	outlierGossipBudget float64          // remaining cost of gossip about outliers; a full message costs Costs.Gossip
	pendingGossip       []capacityChange // changes to send at the end of this step
}

// lagEstimator estimates the lag of the list: the candidate lag with which the tasks known to this placer
// predict the changes of the listed cores best.
type lagEstimator struct {
	errors [len(listLags)]float64 // decayed sum of the errors of each candidate, in cores
	best   int                    // index of the candidate with the least error
}

// pool holds the machines of one type and the sizes of the tasks requested for it.
type pool struct {
	order []*machine // sorted by the hash of their ids
	sizes sizeHistogram
}

// sizeHistogram holds the load of each size: the decayed sum of the cores that tasks of that size requested.
type sizeHistogram struct {
	load  [sizeBuckets]float64
	total float64
}

// The buckets of a sizeHistogram: 16 for each doubling of the size, from 2^-6 cores up.
const (
	sizeBuckets      = 256
	bucketsPerDouble = 16
	firstSizeLog2    = -6
)

func sizeBucket(size float64) int {
	bucket := int(math.Round(bucketsPerDouble*math.Log2(size))) - bucketsPerDouble*firstSizeLog2
	return min(max(bucket, 0), sizeBuckets-1)
}

// group returns the machines of size interval i of n. The groups are consecutive parts of pool.order, all of
// about the same length.
func (pool *pool) group(i, n int) []*machine {
	return pool.order[i*len(pool.order)/n : (i+1)*len(pool.order)/n]
}

// usageRatio estimates which share of the requested amount is used, from decayed sums of the used and of the
// requested amount.
type usageRatio struct{ used, requested float64 }

// pollState is the state of polling a list that is not watched.
type pollState struct {
	awaitingReply bool
	failures      int    // consecutive failed polls
	currentTimer  uint32 // number of the latest timer; earlier timers are ignored
}

// machine is the state of a machine as known to this placer.
type machine struct {
	Machine                 // latest list entry
	derating  float64       // share by which the machine's maximum load is reduced, as of deratedAt
	deratedAt time.Duration // when a task was last served poorly
	hash      uint64        // hash of the machine's id
	listedAt  time.Duration // when the latest list entry was received

	// Tasks of this placer and of other placers on the machine.
	reservedCores   float64 // cores requested by this placer's live attempts
	reservedMemory  float64
	attempts        []*attempt       // live attempts, and bound attempts that ended within changeHistory
	starting        int              // number of this placer's live attempts whose task doesn't run yet
	peerChanges     []capacityChange // at most maxPeerChanges
	cachedPrograms  []uint32         // other programs assumed to be cached, latest last; at most maxCachedPrograms
	slowStartOffers []time.Duration  // times of this placer's offers during slow start

	// Health.
	failures     int // consecutive failed probes and connections
	suspectUntil time.Duration
	probing      bool
	answeredAt   time.Duration
	outliers     []outlierState // by class; nil until a task of some class fails

	// Estimate of the available amounts.
	rejectedAt      time.Duration // when a rejection showed that less is available than listed
	unlistedCores   float64       // cores that are listed but, according to rejections, not available
	unlistedMemory  float64       // memory that is listed but, according to rejections, not available
	availableCores  float64       // last result of available
	availableMemory float64
	availableAt     time.Duration
	availableStale  bool

	// Use.
	backoffUntil time.Duration // the machine gets no offers before this, as its queue was full or it served a task poorly
	standby      bool          // the machine gets no new tasks while others have capacity
	removedAt    time.Duration // when rebuildPools found the machine removed from the list; 0 if listed
}

// task is a placement request. It is kept until its final answer is given and its last attempt has ended.
type task struct {
	Task
	deadline     time.Duration
	pool         int // index of the pool of the task's machine type
	attempts     []*attempt
	pending      bool          // the final answer is due
	backoffUntil time.Duration // the task is not offered before this time, after rejections
	firstMayRun  *attempt      // the first attempt that may have run
}

// attempt is an offer of a task to a machine and the state that results from it.
type attempt struct {
	task         *task
	machine      *machine
	number       int // index among the attempts of the task
	sentAt       time.Duration
	endedAt      time.Duration
	bound        bool // the machine has bound the task
	running      bool // the task runs
	ended        bool
	unconfirmed  bool // ended, but the machine may still run the task, so the attempt still counts
	unresponsive bool // reported as an outlier, since the machine answers but not this attempt
	errored      bool // the machine returned an error
}

// outlierState records that a machine fails tasks of one class: it left attempts unanswered or returned errors.
type outlierState struct{ failedAt, ejectedUntil time.Duration }

// New returns a placer for the settings, or an error that names the invalid field. Placers with the same
// settings, seed and events make the same decisions.
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
		listLag:      lagEstimator{best: initialListLag},
	}
	p.saturationThreshold = settings.Classes[0].SaturationThreshold
	for _, class := range settings.Classes {
		p.saturationThreshold = min(p.saturationThreshold, class.SaturationThreshold) // any class may be on a machine
	}
	for range settings.MachineTypes {
		p.pools = append(p.pools, &pool{})
	}
	return p, nil
}

const pcgStream = 0x9e3779b97f4a7c15
