package modelcheck

import (
	"cmp"
	"fmt"
	"runtime"
	"time"

	"forkhead"
)

// Config bounds a search. It is stored with a violation's trace: the names in its tags are those of traces that exist.
type Config struct {
	Tasks, Hosts int             // at least 1; at most maxTasks and maxHosts
	Effect       forkhead.Effect // of a repeated start of a task
	Requests     int             `json:"Asks"` // most placement requests of a task in one incarnation of the placer
	Attempts     int             // most attempts of a task in all requests and incarnations; 1 to maxAttempts
	Faults       int             // most faults in all: connections broken, hosts that crash or drain, crashes of the placer
	NoCrash      bool            // the placer does not crash
	TasksEnd     bool            `json:"Ends"`   // tasks may end by themselves
	FindCycles   bool            `json:"Cycles"` // also search for cycles of fair steps; takes 16 bytes more a step
	SpreadLimit  int             `json:"Spread"` // all tasks are of one service, of which a host may have so many; 0: no limit
	InjectedBug  string          `json:"Plant"`  // name of one of InjectedBugs; "": none
	Workers      int             // goroutines; 0: one a processor
	MaxStates    int             `json:"MostStates"` // the search stops after so many; 0: defaultMaxStates

	// Progress, unless it is nil, is called after each level of the search.
	Progress func(states, depth int) `json:"-"`
}

// Violation is a property that does not hold, with a shortest trace to where it breaks.
type Violation struct {
	Property string   `json:"property"`
	Message  string   `json:"why"`
	Trace    []string `json:"trace"`
}

// Trace is a violation with the search that found it, as it is stored in a file.
type Trace struct {
	Config    Config
	Violation Violation
}

// Result is the result of a search.
type Result struct {
	States      int           `json:"states"`
	Steps       int           `json:"steps"` // transitions between states
	EndStates   int           `json:"ends"`  // states without a fair step
	Depth       int           `json:"depth"` // of the search: steps from the first state to the farthest
	Complete    bool          `json:"complete"`
	Violations  []Violation   `json:"violations"`
	Duration    time.Duration `json:"took"`
	MemoryBytes uint64        `json:"bytes"` // obtained from the operating system by the end
}

// defaultMaxStates bounds a search whose Config does not; so many take about 8 GiB.
const defaultMaxStates = 100_000_000

// withDefaults returns the configuration with the defaults of what is not set, or an error.
func (c Config) withDefaults() (Config, error) {
	if c.Tasks < 1 || c.Tasks > maxTasks || c.Hosts < 1 || c.Hosts > maxHosts || c.Attempts < 1 || c.Attempts > maxAttempts {
		return c, fmt.Errorf("%d tasks, %d hosts and %d attempts: want 1 to %d, 1 to %d and 1 to %d",
			c.Tasks, c.Hosts, c.Attempts, maxTasks, maxHosts, maxAttempts)
	}
	c.Workers = cmp.Or(c.Workers, runtime.GOMAXPROCS(0))
	c.MaxStates = cmp.Or(c.MaxStates, defaultMaxStates)
	return c, nil
}
