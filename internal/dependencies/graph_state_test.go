package dependencies

// String returns the state's name in messages of tests.
func (s State) String() string {
	return [...]string{"unknown", "blocked", "doomed", "released", "done", "cancelled"}[s]
}

// State returns the state of a job in the graph. A job that it doesn't contain is Unknown.
func (g *Graph) State(id string) State {
	if found, ok := g.nodes[id]; ok {
		return found.state
	}
	return Unknown
}

// Len returns the number of jobs in the graph.
func (g *Graph) Len() int { return len(g.nodes) }
