package capacity

import "github.com/rotisserie/eris"

// Verdict is what a row says about its budget.
type Verdict string

// Verdicts. A row without a budget has NoBudget.
const (
	Fits       Verdict = "fits"
	DoesNotFit Verdict = "**does not fit**"
	NoBudget   Verdict = "no budget"
)

// Row is one figure of a role at the design size.
type Row struct {
	Figure    string
	Value     float64
	Budget    float64 // 0 with NoBudget
	Unit      string
	Says      Verdict // stated by hand; Check compares it with Value and Budget
	From      string  // IDs of the slopes and assumptions that the value comes from, separated by ", "
	Mechanism string
}

// Role is one table of the page.
type Role struct {
	Name string
	Text string // one line about how the role scales
	Rows []Row
}

// Check returns ErrVerdict for a row that says that it fits while its value exceeds the budget, or the other way round.
func Check(roles []Role) error {
	for _, role := range roles {
		for _, row := range role.Rows {
			if row.Says != row.verdict() {
				return eris.Wrapf(ErrVerdict, "%s, %s: says %q at %g of %g %s", role.Name, row.Figure, row.Says, row.Value, row.Budget, row.Unit)
			}
		}
	}
	return nil
}

func (r Row) verdict() Verdict {
	switch {
	case r.Budget == 0:
		return NoBudget
	case r.Value <= r.Budget:
		return Fits
	}
	return DoesNotFit
}

// Compute returns the roles at the design size, or ErrSlope.
func Compute(slopes *Slopes) ([]Role, error) {
	r := &reader{slopes: slopes}
	roles := []Role{
		entry(r), membership(r), bundles(r), claims(r), batch(r), holders(r), polling(r), control(r), store(r), storeSpaceRole(r), link(r),
	}
	return roles, r.err
}
