package coldstate

// answers is whether the answers of backend servers to questions say whether they are cold. If they don't, only
// heartbeats do.
type answers uint8

const (
	untried answers = iota
	stating
	silent
)
