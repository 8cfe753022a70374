package peer

import (
	"math/rand/v2"
	"time"
)

// backoff returns the delay after the given number of consecutive failed dials. It
// doubles from minDelay up to maxDelay. Half of it is random, so that daemons that lost
// the same peer do not reconnect at the same time.
func backoff(failures int, minDelay, maxDelay time.Duration, rng *rand.Rand) time.Duration {
	delay := minDelay
	for range failures - 1 {
		if delay >= maxDelay {
			break
		}
		delay *= 2
	}
	delay = min(delay, maxDelay)
	return delay/2 + time.Duration(rng.Int64N(int64(delay/2)+1))
}
