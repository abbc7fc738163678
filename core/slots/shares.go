package slots

import (
	"math"
	"time"
)

// Shares measures how much work the targets have done lately for each client account, relative to the account's weight. A queue serves the accounts
// that got the least first. Past work loses weight exponentially, so that a shortage leaves no lasting disadvantage. Shares is not safe for
// concurrent use.
type Shares struct {
	memory  time.Duration
	epoch   time.Time          // the values of tokens are scaled to this time
	tokens  map[string]float64 // by account: tokens, each multiplied by e^((start-epoch)/memory)
	average float64            // tokens of a request
}

const (
	// maxScale bounds the exponent by which the values grow before they are scaled to a new epoch.
	maxScale = 30
	// negligibleTokens is the usage below which an account is forgotten.
	negligibleTokens = 1
	// freeRequests is the number of recent requests of usual size that do not count. Otherwise a single request of an account with a small weight would
	// put its next one behind those of an account that sends many times its share.
	freeRequests = 4
	// averageWeight is the weight of a request in the average size.
	averageWeight = 0.02
)

// NewShares returns shares without usage. Work counts 1/e of its tokens after memory, and nothing after a few times that.
func NewShares(memory time.Duration) *Shares {
	return &Shares{memory: memory, tokens: make(map[string]float64)}
}

// Charge records that a request of an account with a number of tokens got a slot at now.
func (s *Shares) Charge(account string, tokens int64, now time.Time) {
	size := float64(max(tokens, 1))
	if s.average == 0 {
		s.average = size
	}
	s.average += averageWeight * (size - s.average)
	s.ChargeOthers(account, size, now)
}

// ChargeOthers records that requests of an account got slots at other instances, by their number of tokens.
func (s *Shares) ChargeOthers(account string, tokens float64, now time.Time) {
	s.advance(now)
	s.tokens[account] += max(tokens, 0) * s.scale(now)
}

// Attained returns the recent tokens of an account beyond those of freeRequests, divided by its weight. A weight that is not positive counts as 1.
func (s *Shares) Attained(account string, weight float64, now time.Time) float64 {
	tokens, ok := s.tokens[account]
	if !ok {
		return 0
	}
	if weight <= 0 {
		weight = 1
	}
	return max(tokens/s.scale(now)-freeRequests*s.average, 0) / weight
}

func (s *Shares) scale(now time.Time) float64 {
	return math.Exp(now.Sub(s.epoch).Seconds() / s.memory.Seconds())
}

// advance scales the values to a new epoch when they have grown too far, and forgets the accounts that did not send anything lately.
func (s *Shares) advance(now time.Time) {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	if now.Sub(s.epoch) < maxScale*s.memory {
		return
	}
	factor := s.scale(now)
	for account := range s.tokens {
		s.tokens[account] /= factor
		if s.tokens[account] < negligibleTokens {
			delete(s.tokens, account)
		}
	}
	s.epoch = now
}
