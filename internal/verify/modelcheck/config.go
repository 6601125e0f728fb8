package modelcheck

import (
	"cmp"
	"fmt"
	"runtime"
	"time"

	"forkhead"
)

// Config bounds a search. It is stored with a violation's trace, so its JSON names must stay as they are in existing
// traces.
type Config struct {
	Tasks, Hosts int             // at least 1; at most maxTasks and maxHosts
	Effect       forkhead.Effect // effect of a repeated start of a task
	Requests     int             `json:"Asks"` // maximum number of placement requests of a task in one incarnation of the placer
	Attempts     int             // maximum number of attempts of a task over all requests and incarnations; 1 to maxAttempts
	Faults       int             // maximum number of faults: broken connections, crashes and drains of hosts, crashes of the placer
	NoCrash      bool            // the placer does not crash
	TasksEnd     bool            `json:"Ends"`   // tasks may end by themselves
	FindCycles   bool            `json:"Cycles"` // also search for cycles of fair steps; needs 16 more bytes for each fair step
	SpreadLimit  int             `json:"Spread"` // maximum number of tasks on one host, all of one service; 0: no limit
	InjectedBug  string          `json:"Plant"`  // name of one of InjectedBugs; "": no bug
	Workers      int             // number of goroutines; 0: GOMAXPROCS
	MaxStates    int             `json:"MostStates"` // the search stops after the level that exceeds this number; 0: defaultMaxStates

	// Progress is called after each level of the search, unless it is nil.
	Progress func(states, depth int) `json:"-"`
}

// Violation is a violated property with a shortest trace that leads to the violation.
type Violation struct {
	Property string   `json:"property"`
	Message  string   `json:"why"`
	Trace    []string `json:"trace"`
}

// Trace is the file format of a violation, with the configuration of the search that found it.
type Trace struct {
	Config    Config
	Violation Violation
}

// Result is the result of a search.
type Result struct {
	States      int           `json:"states"`
	Steps       int           `json:"steps"` // transitions between states
	EndStates   int           `json:"ends"`  // states without a fair step
	Depth       int           `json:"depth"` // number of steps from the initial state to the farthest state found
	Complete    bool          `json:"complete"`
	Violations  []Violation   `json:"violations"`
	Duration    time.Duration `json:"took"`
	MemoryBytes uint64        `json:"bytes"` // memory obtained from the operating system until the end of the search
}

// defaultMaxStates is used if Config.MaxStates is 0. That many states take about 8 GiB of memory.
const defaultMaxStates = 100_000_000

// withDefaults returns the configuration with defaults in place of unset fields, or an error if a bound is out of
// range.
func (c Config) withDefaults() (Config, error) {
	if c.Tasks < 1 || c.Tasks > maxTasks || c.Hosts < 1 || c.Hosts > maxHosts || c.Attempts < 1 || c.Attempts > maxAttempts {
		return c, fmt.Errorf("the search has %d tasks, %d hosts and %d attempts, want 1 to %d, 1 to %d and 1 to %d",
			c.Tasks, c.Hosts, c.Attempts, maxTasks, maxHosts, maxAttempts)
	}
	c.Workers = cmp.Or(c.Workers, runtime.GOMAXPROCS(0))
	c.MaxStates = cmp.Or(c.MaxStates, defaultMaxStates)
	return c, nil
}
