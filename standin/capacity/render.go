package capacity

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Markers between which the page is generated.
const (
	begin = "<!-- capacity tables: begin; go test ./standin/capacity -update writes them -->"
	end   = "<!-- capacity tables: end -->"
)

// ErrPage means that the page lacks the markers.
var ErrPage = eris.New("page lacks the markers of the tables")

// Render returns the generated part of the page.
func Render(slopes *Slopes, roles []Role) string {
	var b strings.Builder
	for _, role := range roles {
		renderRole(&b, slopes, role)
	}
	b.WriteString("### Assumptions\n\n| id | value | unit | what |\n|---|---:|---|---|\n")
	for _, a := range Assumptions() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", a.ID, number(a.Value), a.Unit, a.Text)
	}
	fmt.Fprintf(&b, "\n### Measured slopes\n\nMachine: %s.\n\n| slope | measures | unit | size counts | size: value | date |\n|---|---|---|---|---|---|\n", slopes.Machine)
	for _, s := range slopes.Slopes {
		measures := s.Measures
		if s.Note != "" {
			measures += " (" + s.Note + ")"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", s.ID, measures, s.Unit, s.SizeCounts, s.sizes(), s.Date)
	}
	return b.String()
}

func renderRole(b *strings.Builder, slopes *Slopes, role Role) {
	fmt.Fprintf(b, "### %s\n\n%s\n\n", role.Name, role.Text)
	b.WriteString("| figure | at the design size | budget | used | verdict | basis | from | mechanism |\n|---|---:|---:|---:|---|---|---|---|\n")
	for _, row := range role.Rows {
		budget, used := "", ""
		if row.Budget != 0 {
			budget, used = number(row.Budget), number(100*row.Value/row.Budget)+" %"
		}
		fmt.Fprintf(b, "| %s | %s %s | %s | %s | %s | %s | %s | %s |\n",
			row.Figure, number(row.Value), row.Unit, budget, used, row.Says, basis(slopes, row), row.From, row.Mechanism)
	}
	b.WriteString("\n")
}

// assumptionID matches the ID of an assumption.
var assumptionID = regexp.MustCompile(`\bA\d+\b`)

// basis says whether a value was measured at the design size, computed from measured slopes, or rests on an assumption too.
func basis(slopes *Slopes, row Row) string {
	if assumptionID.MatchString(row.From) {
		return "assumed"
	}
	i := slices.IndexFunc(slopes.Slopes, func(s Slope) bool { return s.ID == row.From })
	if i >= 0 && slices.ContainsFunc(slopes.Slopes[i].Points, func(p Point) bool { return p.Value == row.Value }) {
		return "measured"
	}
	return "computed"
}

// number renders three significant digits, with separators from 1,000 on.
func number(v float64) string {
	if v == 0 {
		return "0"
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	rounded := math.Round(v*scale) / scale
	text := strconv.FormatFloat(rounded, 'f', -1, 64)
	whole, fraction, _ := strings.Cut(text, ".")
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if fraction != "" {
		return whole + "." + fraction
	}
	return whole
}

// Replace returns the page with its generated part replaced, or ErrPage.
func Replace(page, tables string) (string, error) {
	before, rest, ok := strings.Cut(page, begin)
	_, after, closed := strings.Cut(rest, end)
	if !ok || !closed {
		return "", ErrPage
	}
	return before + begin + "\n\n" + tables + "\n" + end + after, nil
}
