package dependencies

// String returns the state's name for test failure messages.
func (s State) String() string {
	return [...]string{"unknown", "blocked", "cancel pending", "released", "done", "cancelled"}[s]
}

// Len returns the number of jobs in the graph.
func (g *Graph) Len() int { return len(g.nodes) }
