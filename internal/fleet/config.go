package fleet

import "time"

// Parameters of the broadcast of new facts: see broadcast.go.
const (
	// maxTransmits is the maximum number of times that a relay broadcasts a new fact, reached at high loss rates.
	maxTransmits = 4
	// batchDelay is how long a new fact waits for further facts to be sent in the same message.
	batchDelay = 10 * time.Millisecond
	// fanOut is the expected number of relays that broadcast an observation which many relays make at about the same time.
	// The other relays keep theirs local.
	fanOut = 8
	// dedupWindow is the age below which an existing report on the same subject makes a further report of a common
	// observation redundant.
	dedupWindow = 300 * time.Millisecond
	// acceptedMissShare is the share of the fleet that may receive none of the broadcasts of a fact. These relays get the
	// fact by anti-entropy.
	acceptedMissShare = 0.005
)

// transmitDelays holds the delay of each transmission of a fact, counted from the end of its batch delay.
var transmitDelays = [maxTransmits]time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond}

// Parameters of heartbeats and failure detection: see heartbeat.go and suspicion.go.
const (
	// heartbeatIntervalPerRelay is multiplied by the fleet's size to give the heartbeat interval, so that the rate of
	// heartbeats that a relay receives does not grow with the fleet.
	heartbeatIntervalPerRelay = 100 * time.Millisecond
	// minHeartbeatInterval is the lower bound of the heartbeat interval, which applies to small fleets.
	minHeartbeatInterval = 5 * time.Second
	// suspicionTimeout is the time without a message from a member, in heartbeat intervals, after which it is suspected.
	suspicionTimeout = 2.5
	// failureTimeout is the time without a message from a member, in heartbeat intervals, after which it counts as failed.
	failureTimeout = 5.0
	// initialLossRate is the estimate of the loss rate before any heartbeat has been received.
	initialLossRate = 0.05
	// lossSmoothing is the weight of one heartbeat in the moving average of the loss rate.
	lossSmoothing = 1.0 / 64
	// maxLossRate is the upper bound of the loss rate in the computation of the transmit limit.
	maxLossRate = 0.9
	// minLossRate is the lower bound of the loss rate in that computation; it keeps the logarithm finite.
	minLossRate = 1e-9
	// maxHeartbeatGap bounds the difference of the sequence numbers of two consecutively received heartbeats in the loss
	// estimate: a larger difference comes from an outage rather than from packet loss.
	maxHeartbeatGap = 8
)

// Parameters of anti-entropy and joining: see antientropy.go and join.go.
const (
	// digestInterval is the mean interval at which a relay sends its digest to a random peer.
	digestInterval = 400 * time.Millisecond
	// maxAnswerMessages is the maximum number of messages in an answer to a joining member or to bucket digests.
	maxAnswerMessages = 4
	// maxJoinRequests is the maximum number of join requests that a member sends, each to a random relay.
	maxJoinRequests = 4
	// wantedJoinAnswers is the number of received answer messages after which a joining member sends no more requests.
	wantedJoinAnswers = 2
	// joinRetryInterval is the time between two join requests of one member.
	joinRetryInterval = 300 * time.Millisecond
	// maxJoinFactsPerSubject is the maximum number of facts with the same kind and key in the answer to a joining member.
	maxJoinFactsPerSubject = 2
)

// The delay before each run of a periodic task is its interval times a random factor between jitterMin and
// jitterMin+jitterSpan, so that relays that started at the same time don't stay synchronized.
const (
	jitterMin  = 0.75
	jitterSpan = 0.5
)
