package bundle

// Defaults of Limits and of the weight of a Group.
const (
	DefaultFirstTokenTimeoutMs = 10_000 // ms
	DefaultProgressTimeoutMs   = 2_000  // ms
	DefaultQueueTimeoutMs      = 1_000  // ms
	DefaultRetryBudgetPercent  = 10     // retries for each 100 requests
	DefaultBatchHarmPercent    = 2      // percent of the online p99 latency
	DefaultGroupWeight         = 1      // share under contention
)

// WithDefaults returns a copy of the limits in which zero values are replaced by the defaults.
func (l *Limits) WithDefaults() Limits {
	out := *l
	orDefault(&out.FirstTokenTimeoutMs, DefaultFirstTokenTimeoutMs)
	orDefault(&out.ProgressTimeoutMs, DefaultProgressTimeoutMs)
	orDefault(&out.QueueTimeoutMs, DefaultQueueTimeoutMs)
	orDefault(&out.RetryBudgetPercent, DefaultRetryBudgetPercent)
	orDefault(&out.BatchHarmPercent, DefaultBatchHarmPercent)
	return out
}

func orDefault[T int | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
