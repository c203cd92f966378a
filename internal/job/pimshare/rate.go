package pimshare

import "time"

// Bucket is a token bucket that limits the rate of an organisation's jobs. Tokens are thousandths of a job, so that one
// is added for each millisecond and unit of weight. FilledAt is in milliseconds since 1970; the zero Bucket is full.
type Bucket struct {
	Tokens   int64 `msgpack:"t"`
	FilledAt int64 `msgpack:"a"`
}

const tokensPerJob = 1000

// Take takes the tokens of one job at a time, and returns false if too few are left. The bucket then stays as filled, so
// that jobs over the rate do not delay the next one within it. A weight of 0 gives no tokens.
func (b *Bucket) Take(weight int, window time.Duration, now int64) bool {
	b.fill(weight, window, now)
	if b.Tokens < tokensPerJob {
		return false
	}
	b.Tokens -= tokensPerJob
	return true
}

// Jobs returns how many jobs are within the rate at a time.
func (b Bucket) Jobs(weight int, window time.Duration, now int64) int64 {
	b.fill(weight, window, now)
	return b.Tokens / tokensPerJob
}

func (b *Bucket) fill(weight int, window time.Duration, now int64) {
	capacity := int64(max(0, weight)) * window.Milliseconds()
	elapsed := min(max(0, now-b.FilledAt), window.Milliseconds())
	b.Tokens = min(capacity, b.Tokens+int64(max(0, weight))*elapsed)
	b.FilledAt = max(now, b.FilledAt)
}
