package modelcheck

import "bytes"

// permutations lists the permutations of 0, 1, 2 and 3 elements.
var permutations = [][][]int{
	{{}},
	{{0}},
	{{0, 1}, {1, 0}},
	{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}},
}

// canonical returns the least of all states that differ from the state only in the order of tasks and hosts. All tasks
// are of one class and all hosts are alike, so a property holds in either all or none of these states.
func (s *state) canonical(tasks, hosts int) state {
	best := *s
	for _, hostOrder := range permutations[hosts] {
		for _, taskOrder := range permutations[tasks] {
			c := s.permuted(taskOrder, hostOrder)
			if bytes.Compare(c.bytes(), best.bytes()) < 0 {
				best = c
			}
		}
	}
	return best
}

// permuted returns the state with task i moved to taskOrder[i] and host i to hostOrder[i].
func (s *state) permuted(taskOrder, hostOrder []int) state {
	c := *s
	for from, to := range taskOrder {
		c.tasks[to] = s.tasks[from]
		attempts := c.tasks[to].attemptsMade()
		for i := range attempts {
			attempts[i].host = uint8(hostOrder[attempts[i].host])
		}
	}
	for from, to := range hostOrder {
		c.hosts[to] = s.hosts[from].permuted(taskOrder)
	}
	return c
}

func (h *host) permuted(taskOrder []int) host {
	c := *h
	for from, to := range taskOrder {
		c.attempts[to] = h.attempts[from]
	}
	for i := range c.streams {
		s := &c.streams[i]
		for j := range s.toHostCount {
			s.toHost[j] = s.toHost[j].permuted(taskOrder)
		}
		for j := range s.toPlacerCount {
			s.toPlacer[j] = s.toPlacer[j].permuted(taskOrder)
		}
	}
	return c
}

func (m message) permuted(taskOrder []int) message {
	switch m.kind {
	case helloMessage:
		return m
	case welcomeMessage:
		c := message{kind: m.kind, attemptOrEpoch: m.attemptOrEpoch}
		for from, to := range taskOrder {
			for ai := range maxAttempts {
				if m.lists(from, ai) {
					c.list(to, ai)
				}
			}
		}
		return c
	}
	ti, ai := m.attempt()
	return newMessage(m.kind, taskOrder[ti], ai)
}
