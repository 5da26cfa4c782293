package dependencies

// String returns the state's name in messages of tests.
func (s State) String() string {
	return [...]string{"unknown", "blocked", "doomed", "released", "done", "cancelled"}[s]
}

// Len returns the number of jobs in the graph.
func (g *Graph) Len() int { return len(g.nodes) }
