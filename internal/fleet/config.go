package fleet

import "time"

// Broadcast of new facts: see broadcast.go.
const (
	// maxTransmits is the number of times that a relay broadcasts a new fact at most, with all messages lost but a few.
	maxTransmits = 4
	// batchDelay is how long a broadcast waits for others that fit into the same message.
	batchDelay = 10 * time.Millisecond
	// fanOut is the expected number of relays that broadcast a common observation. Others keep theirs local.
	fanOut = 8
	// dedupWindow is the age below which another relay's report of the same subject makes a common observation redundant.
	dedupWindow = 300 * time.Millisecond
	// acceptedMissShare is the share of the fleet that the broadcasts of a fact may miss; anti-entropy reaches the rest.
	acceptedMissShare = 0.005
)

// transmitDelays holds the delay of each transmission after the batch delay of the first one.
var transmitDelays = [maxTransmits]time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond}

// Heartbeats and failure detection: see heartbeat.go and suspicion.go.
const (
	// heartbeatIntervalPerRelay times the fleet's size is the heartbeat interval: the traffic that a relay receives does not
	// grow with the fleet.
	heartbeatIntervalPerRelay = 100 * time.Millisecond
	// minHeartbeatInterval is the heartbeat interval of small fleets.
	minHeartbeatInterval = 5 * time.Second
	// suspicionTimeout is the silence, in heartbeat intervals, after which a member is suspected.
	suspicionTimeout = 2.5
	// failureTimeout is the silence, in heartbeat intervals, after which a member counts as failed.
	failureTimeout = 5.0
	// initialLossRate is the assumed share of lost heartbeats before any was counted.
	initialLossRate = 0.05
	// lossSmoothing is the weight of one heartbeat in the moving average of the loss rate.
	lossSmoothing = 1.0 / 64
	// maxLossRate bounds the loss rate in the computation of the transmit limit.
	maxLossRate = 0.9
	// minLossRate keeps the logarithm of the loss rate finite.
	minLossRate = 1e-9
	// maxHeartbeatGap bounds the number of heartbeats between two received ones: a longer gap is an outage, not packet loss.
	maxHeartbeatGap = 8
)

// Anti-entropy and joining: see antientropy.go and join.go.
const (
	// digestInterval is how often a relay sends its digest to a random one.
	digestInterval = 400 * time.Millisecond
	// maxAnswerMessages is the number of messages in an answer to a joining member or to bucket digests.
	maxAnswerMessages = 4
	// maxJoinRequests is the number of relays that a joining member asks for their state.
	maxJoinRequests = 4
	// wantedJoinAnswers is the number of messages of state after which a joining member stops asking.
	wantedJoinAnswers = 2
	// joinRetryInterval is the time between two join requests.
	joinRetryInterval = 300 * time.Millisecond
	// maxJoinFactsPerSubject is the number of facts about one subject in the state for a joining member.
	maxJoinFactsPerSubject = 2
)

// Periodic work runs after jitterMin to jitterMin+jitterSpan of its interval, drawn anew each time, so that relays which
// started together don't send in step.
const (
	jitterMin  = 0.75
	jitterSpan = 0.5
)
