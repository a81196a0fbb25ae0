package dispatch

// tokenBucket limits how often something is done: whoever does it takes tokens, which are added at a rate or for each event.
type tokenBucket struct {
	tokens float64
}

// add adds tokens, up to a capacity.
func (b *tokenBucket) add(tokens, capacity float64) {
	b.tokens = min(b.tokens+tokens, capacity)
}

// has reports whether so many tokens are there.
func (b *tokenBucket) has(tokens float64) bool { return b.tokens >= tokens }

// take removes tokens, whether or not they are there.
func (b *tokenBucket) take(tokens float64) { b.tokens -= tokens }
