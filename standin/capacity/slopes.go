// Package capacity computes what the design size (docs/design.md section 1.6) costs each role from measured slopes, and renders the
// tables of docs/CAPACITY.md. It holds no product code; its test keeps the page, the slopes and the verdicts in agreement.
package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrSlope means that a slope is missing or malformed.
	ErrSlope = eris.New("slope is missing or malformed")
	// ErrVerdict means that a row's verdict disagrees with its value and budget.
	ErrVerdict = eris.New("verdict disagrees with the budget")
)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is one quantity measured at several sizes.
type Slope struct {
	ID         string  `json:"id"`
	Measures   string  `json:"measures"`
	Unit       string  `json:"unit"`
	SizeCounts string  `json:"size_counts"` // what the sizes count
	Points     []Point `json:"points"`      // ascending by size
	Command    string  `json:"command"`     // reproduces the points, in the repository's root
	Date       string  `json:"date"`        // of the run
	Note       string  `json:"note,omitempty"`
}

// Slopes is the content of docs/capacity/slopes.json.
type Slopes struct {
	Machine string  `json:"machine"`
	Slopes  []Slope `json:"slopes"`
}

// Load reads a file of slopes, or returns ErrSlope.
func Load(path string) (*Slopes, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSlope, err)
	}
	s := &Slopes{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, eris.Wrapf(ErrSlope, "%s: %v", path, err)
	}
	for _, slope := range s.Slopes {
		if err := slope.check(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// check refuses a slope without its origin or with sizes out of order.
func (s Slope) check() error {
	if s.ID == "" || s.Measures == "" || s.Unit == "" || s.SizeCounts == "" || s.Command == "" || s.Date == "" {
		return eris.Wrapf(ErrSlope, "slope %q lacks a field", s.ID)
	}
	if len(s.Points) == 0 {
		return eris.Wrapf(ErrSlope, "slope %q has no points", s.ID)
	}
	for i := 1; i < len(s.Points); i++ {
		if s.Points[i].Size <= s.Points[i-1].Size {
			return eris.Wrapf(ErrSlope, "slope %q: sizes do not ascend", s.ID)
		}
	}
	return nil
}

// At returns the value at a size: on the line between the measured neighbours, and beyond them on the line of the last two.
func (s Slope) At(size float64) float64 {
	if len(s.Points) == 1 {
		return s.Points[0].Value
	}
	i, _ := slices.BinarySearchFunc(s.Points, size, func(p Point, size float64) int {
		if p.Size < size {
			return -1
		}
		return 1
	})
	i = min(max(i, 1), len(s.Points)-1)
	a, b := s.Points[i-1], s.Points[i]
	return a.Value + (b.Value-a.Value)*(size-a.Size)/(b.Size-a.Size)
}

// reader looks slopes up and keeps the first error, so that rows read as formulas.
type reader struct {
	slopes *Slopes
	err    error
}

func (r *reader) at(id string, size float64) float64 {
	i := slices.IndexFunc(r.slopes.Slopes, func(s Slope) bool { return s.ID == id })
	if i < 0 {
		if r.err == nil {
			r.err = eris.Wrapf(ErrSlope, "no slope %q", id)
		}
		return 0
	}
	return r.slopes.Slopes[i].At(size)
}

// only returns a slope that does not depend on a size.
func (r *reader) only(id string) float64 { return r.at(id, 1) }

// sizes renders the points of a slope.
func (s Slope) sizes() string {
	text := ""
	for i, p := range s.Points {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s: %s", number(p.Size), number(p.Value))
	}
	return text
}
