package quota

import (
	"math"

	"eelgrassproxy.example/core/accounts"
)

// Report tells a coordinator about the requests of an account at one instance.
type Report struct {
	Account string `json:"a"`
	// Series changes whenever the instance starts to count from 0 again.
	Series   uint64 `json:"s"`
	Admitted int64  `json:"n"` // requests admitted in the series, less those that were refunded
	// Demand is the recent number of requests per second, admitted or not.
	Demand float64 `json:"d"`
	// Tokens is the work that targets have done for the account in the series, see Instance.Spend.
	Tokens int64   `json:"t,omitempty"`
	Rate   float64 `json:"r"` // limit in force at the sender
	Burst  float64 `json:"b"`
	// Heard means that a coordinator has replied. Acked is the number of admitted requests that it had counted, and Level the level in its reply plus
	// the refill since then, less the demand of the others. A coordinator that takes over continues from them.
	Heard bool    `json:"h,omitempty"`
	Other bool    `json:"o,omitempty"` // that was another coordinator than the receiver
	Acked int64   `json:"k,omitempty"`
	Level float64 `json:"l,omitempty"`
}

// Reply tells an instance the state of an account's bucket.
type Reply struct {
	Account string  `json:"a"`
	Series  uint64  `json:"s"` // of the report
	Acked   int64   `json:"k"` // admitted requests of the report
	Level   float64 `json:"l"` // tokens; may be negative
	Others  float64 `json:"o"` // requests per second at the other instances, admitted or not
	// OthersTokens is the sum of Report.Tokens of the other instances since the coordinator has kept the account.
	OthersTokens int64 `json:"t,omitempty"`
}

// Bounds of the values in messages, which may come from a faulty sender.
const (
	maxCount  = 1 << 50
	maxDemand = 1e7
	maxLevel  = 1e12
)

// clamp bounds v. Not-a-number becomes low.
func clamp(v, low, high float64) float64 {
	if math.IsNaN(v) {
		return low
	}
	return min(max(v, low), high)
}

// round shortens a value for a message.
func round(v float64) float64 { return math.Round(v*100) / 100 }

// clamped returns the report with its values in their ranges.
func (r Report) clamped() Report {
	r.Admitted, r.Acked = min(max(r.Admitted, 0), maxCount), min(max(r.Acked, 0), maxCount)
	r.Acked = min(r.Acked, r.Admitted+maxRefunds)
	r.Tokens = min(max(r.Tokens, 0), maxCount)
	r.Demand = clamp(r.Demand, 0, maxDemand)
	r.Rate, r.Burst = clamp(r.Rate, 0, maxLevel), clamp(r.Burst, 0, maxLevel)
	r.Level = clamp(r.Level, -maxLevel, maxLevel)
	return r
}

// Limit returns the limit in the report.
func (r Report) Limit() accounts.Quota { return accounts.Quota{Rate: r.Rate, Burst: r.Burst} }

// clamped returns the reply with its values in the ranges that a limit allows.
func (r Reply) clamped(limit accounts.Quota) Reply {
	r.Acked = min(max(r.Acked, 0), maxCount)
	r.Level = clamp(r.Level, floorOf(limit), burstOf(limit))
	r.Others = clamp(r.Others, 0, maxDemand)
	r.OthersTokens = min(max(r.OthersTokens, 0), maxCount)
	return r
}
