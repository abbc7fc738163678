package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	slopesFile = "../../docs/capacity/slopes.json"
	pageFile   = "../../docs/CAPACITY.md"
)

var update = flag.Bool("update", false, "write the tables of docs/CAPACITY.md")

func load(t *testing.T) (*Slopes, []Role) {
	slopes, err := Load(slopesFile)
	require.NoError(t, err)
	roles, err := Compute(slopes)
	require.NoError(t, err)
	return slopes, roles
}

// Guards against a page whose figures are not those of the slopes, after either was changed.
func TestThePageShowsWhatFollowsFromTheSlopes(t *testing.T) {
	slopes, roles := load(t)
	page, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	want, err := Replace(string(page), Render(slopes, roles))
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(pageFile, []byte(want), 0o644))
		return
	}
	require.Empty(t, changedLines(string(page), want), "run go test ./standin/capacity -update and read what changed")
}

// changedLines returns the lines of want that the page lacks.
func changedLines(page, want string) []string {
	if page == want {
		return nil
	}
	have := map[string]bool{}
	for line := range strings.SplitSeq(page, "\n") {
		have[line] = true
	}
	changed := []string{"the page differs, perhaps only in the order of lines"}
	for line := range strings.SplitSeq(want, "\n") {
		if !have[line] {
			changed = append(changed, line)
		}
	}
	return changed
}

// Guards against a row that says that it fits while its number exceeds the budget, or that still says the opposite after a fix.
func TestEveryVerdictAgreesWithItsBudget(t *testing.T) {
	_, roles := load(t)
	require.NoError(t, Check(roles))
}

// Guards against a check that lets a wrong verdict pass.
func TestAWrongVerdictIsRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		row  Row
		ok   bool
	}{
		{"over the budget and said to fit", Row{Value: 3001, Budget: 3000, Says: Fits}, false},
		{"within the budget and said not to fit", Row{Value: 3000, Budget: 3000, Says: DoesNotFit}, false},
		{"a budget that the verdict ignores", Row{Value: 1, Budget: 3000, Says: NoBudget}, false},
		{"a verdict without a budget", Row{Value: 1, Says: Fits}, false},
		{"a true verdict", Row{Value: 3001, Budget: 3000, Says: DoesNotFit}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := Check([]Role{{Rows: []Row{c.row}}})
			if c.ok {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrVerdict)
		})
	}
}

// Guards against values read off the wrong segment, and against slopes without their origin.
func TestSlopesAreReadBetweenAndBeyondTheirPoints(t *testing.T) {
	s := Slope{Points: []Point{{10, 1}, {20, 2}, {40, 8}}}
	for size, want := range map[float64]float64{10: 1, 15: 1.5, 20: 2, 30: 5, 40: 8, 50: 11, 5: 0.5} {
		require.InDelta(t, want, s.At(size), 1e-9, "size %g", size)
	}
	require.ErrorIs(t, s.check(), ErrSlope)
	r := &reader{slopes: &Slopes{}}
	r.at("missing", 1)
	require.ErrorIs(t, r.err, ErrSlope)
}

// Guards against slopes from fewer than three sizes, and against rows that name an origin which does not exist.
func TestEverySlopeHasThreeSizesAndEveryOriginExists(t *testing.T) {
	slopes, roles := load(t)
	known := map[string]bool{"design size": true, "bounds of the code": true}
	for _, s := range slopes.Slopes {
		require.False(t, known[s.ID], "slope %s is listed twice", s.ID)
		known[s.ID] = true
		constant := len(s.Points) == 1 && s.Note == "does not depend on a size"
		require.True(t, constant || len(s.Points) >= 3, "slope %s has %d sizes", s.ID, len(s.Points))
	}
	for _, a := range Assumptions() {
		known[a.ID] = true
	}
	for _, role := range roles {
		for _, row := range role.Rows {
			for origin := range strings.SplitSeq(row.From, ", ") {
				require.True(t, known[origin], "%s, %s: origin %q", role.Name, row.Figure, origin)
			}
		}
	}
}
