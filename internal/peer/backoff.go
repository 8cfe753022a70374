package peer

import (
	"math/rand/v2"
	"time"
)

// backoff returns the pause after the given number of failed dials in a row. It doubles
// from least to most; half of it is random, so that daemons that lost the same peer do
// not come back together.
func backoff(failures int, least, most time.Duration, rng *rand.Rand) time.Duration {
	pause := least
	for range failures - 1 {
		if pause >= most {
			break
		}
		pause *= 2
	}
	pause = min(pause, most)
	return pause/2 + time.Duration(rng.Int64N(int64(pause/2)+1))
}
