package poison

import "time"

// Record returns the record of a part that is under suspicion, blocked or cleared.
func (t *Tracker) Record(part Part, now time.Time) (Record, bool) {
	records := t.recordsOf([]Part{part}, now)
	if len(records) == 0 {
		return Record{}, false
	}
	return records[0], true
}
