package dispatch

// tokenBucket limits how often something is done: each use takes tokens, which are added at a rate or for
// each event.
type tokenBucket struct {
	tokens float64
}

// add adds tokens, up to a capacity.
func (b *tokenBucket) add(tokens, capacity float64) {
	b.tokens = min(b.tokens+tokens, capacity)
}

// has reports whether the bucket holds at least that many tokens.
func (b *tokenBucket) has(tokens float64) bool { return b.tokens >= tokens }

// take removes tokens. The number left may be negative.
func (b *tokenBucket) take(tokens float64) { b.tokens -= tokens }
