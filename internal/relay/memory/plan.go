package memory

const (
	// bytesPerMB converts the limits of the configuration to bytes.
	bytesPerMB = 1e6
	// folderShare bounds the part of the memory limit that is set aside for the files of the state directory, which may count.
	folderShare = 0.125
	// startingProcess is the memory in bytes of a successor that has not asked for the state directory yet.
	startingProcess = 4.5e6
	// outsideRuntime is the memory in bytes of a process that the Go runtime does not manage: the C library and the program's data.
	outsideRuntime = 1e6
	// programSize is the memory in bytes that the runtime and the program need without any client or message.
	programSize = 3e6
	// liveShare is the share of the runtime's memory that may be in use. The collector needs the rest: with less, it would run
	// without end.
	liveShare = 0.75
	// minBudget is the least memory in bytes for all holders together.
	minBudget = 0.5e6
	// ListShare is the share of the memory limit that an endpoint list in JSON may take up at most. An entry takes no more memory
	// in the table than as JSON.
	ListShare = 0.25
)

// Holder is one kind of memory that grows with what peers send. Each has its own share of the budget, so that no kind of peer
// takes the memory of another.
type Holder int

// The holders.
const (
	// Connections are the connections of clients, each at ConnectionSize.
	Connections Holder = iota
	// Input is the part of requests that exceeds ConnectionSize, from before it is read until the request is answered.
	Input
	// Evicted is what evicted connections hold until their goroutines have ended.
	Evicted
	// Messages are the messages in the message table, with their journal entries and the policy's state.
	Messages
	// Calls are the requests to endpoints and their responses, in the form of the wire.
	Calls
	// IdleEndpointConnections are the idle connections to endpoints, each at EndpointConnectionSize.
	IdleEndpointConnections
	// EndedIDs are the ids of messages that have ended and must not run again.
	EndedIDs

	holders = iota
)

// shares are the holders' shares of the budget. Their sum is 1.
var shares = [holders]float64{Connections: 0.40, Input: 0.18, Evicted: 0.06, Messages: 0.17, Calls: 0.13,
	IdleEndpointConnections: 0.04, EndedIDs: 0.02}

const (
	// ConnectionSize is the memory in bytes of a client connection with a small request: its goroutines' stacks, the buffers of
	// net/http and of the request's head, and the request itself.
	ConnectionSize = 20 << 10
	// EndpointConnectionSize is the memory in bytes of an idle connection to an endpoint.
	EndpointConnectionSize = 6 << 10
	// EndpointSize is the memory in bytes of an entry of the endpoint list.
	EndpointSize = 128
)

// Limits are the limits of a relay, which its processes share.
type Limits struct {
	// MemoryMB is the memory in 10^6 bytes.
	MemoryMB float64
	// DiskMB is the size of the state directory in 10^6 bytes.
	DiskMB float64
	// ListBytes is the size of the endpoint list in memory.
	ListBytes int64
}

// Plan divides the memory of one process. All sizes are in bytes.
type Plan struct {
	// SoftLimit is the soft limit of the Go runtime.
	SoftLimit int64
	limits    Limits
	budget    float64 // for all holders together
}

// Alone returns the plan of a process that is the relay's only one, with room for the start of a successor.
func Alone(limits Limits) Plan {
	return newPlan(limits, limits.memory()-limits.folder()-startingProcess)
}

// InHandover returns the plan of each of the two processes of a handover.
func InHandover(limits Limits) Plan { return newPlan(limits, (limits.memory()-limits.folder())/2) }

// newPlan returns the plan of a process that may use size bytes.
func newPlan(limits Limits, size float64) Plan {
	soft := size - outsideRuntime
	budget := liveShare*soft - programSize - float64(limits.ListBytes)
	return Plan{SoftLimit: int64(max(soft, programSize)), limits: limits, budget: max(budget, minBudget)}
}

// memory returns the memory limit in bytes.
func (l Limits) memory() float64 { return l.MemoryMB * bytesPerMB }

// folder returns the memory that the files of the state directory may take up, in bytes.
func (l Limits) folder() float64 { return min(l.DiskMB*bytesPerMB, folderShare*l.memory()) }

// Share returns the memory that a holder may take up.
func (p Plan) Share(h Holder) int64 { return int64(shares[h] * p.budget) }

// Live returns the memory that is in use when every holder is at its limit, the endpoint list and the program included.
func (p Plan) Live() int64 {
	total := int64(programSize) + p.limits.ListBytes
	for h := range Holder(holders) {
		total += p.Share(h)
	}
	return total
}

// Process returns the most memory that the process takes up.
func (p Plan) Process() int64 { return max(p.SoftLimit, p.Live()) + outsideRuntime }

// MaxListBytes returns the largest endpoint list in JSON that a relay reads.
func (l Limits) MaxListBytes() int64 { return int64(ListShare * l.memory()) }
