package experiments

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Results are the measurements of one experiment.
type Results struct {
	Experiment string   `json:"experiment"`
	Columns    []string `json:"columns"`
	Rows       []Row    `json:"rows"`
}

// Row is one measurement: its name and a value for each column. Units are in the columns' names.
type Row struct {
	Name   string    `json:"name"`
	Values []float64 `json:"values"`
}

// Add appends a row. Values are rounded to three decimals, which keeps files small and comparable.
func (r *Results) Add(name string, values ...float64) {
	for i, v := range values {
		values[i] = math.Round(v*1000) / 1000
	}
	r.Rows = append(r.Rows, Row{Name: name, Values: values})
}

// Write prints the results as a text table.
func (r *Results) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\t%s\t\n", r.Experiment, strings.Join(r.Columns, "\t"))
	for _, row := range r.Rows {
		fmt.Fprint(table, row.Name)
		for _, v := range row.Values {
			fmt.Fprintf(table, "\t%.5g", v)
		}
		fmt.Fprint(table, "\t\n")
	}
	return table.Flush()
}

// Save writes the results as JSON.
func (r *Results) Save(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// LoadResults reads results that Save wrote.
func LoadResults(file string) (*Results, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &Results{}
	return r, json.Unmarshal(data, r)
}

// Change is a value that differs between two results.
type Change struct {
	Row, Column   string
	Before, After float64
}

// Compare returns the values that differ by more than the tolerance, a share of the earlier value. A row or column that is missing on one
// side counts as NaN there.
func Compare(before, after *Results, tolerance float64) []Change {
	var changes []Change
	old, fresh := before.cells(), after.cells()
	for _, r := range []*Results{before, after} {
		for _, row := range r.Rows {
			for _, column := range r.Columns {
				key := [2]string{row.Name, column}
				x, y := valueOf(old, key), valueOf(fresh, key)
				if differs(x, y, tolerance) && !reported(changes, key) {
					changes = append(changes, Change{Row: row.Name, Column: column, Before: x, After: y})
				}
			}
		}
	}
	return changes
}

func reported(changes []Change, key [2]string) bool {
	for _, c := range changes {
		if c.Row == key[0] && c.Column == key[1] {
			return true
		}
	}
	return false
}

func differs(x, y, tolerance float64) bool {
	if math.IsNaN(x) || math.IsNaN(y) {
		return true
	}
	return math.Abs(x-y) > tolerance*math.Abs(x)
}

func valueOf(cells map[[2]string]float64, key [2]string) float64 {
	if v, ok := cells[key]; ok {
		return v
	}
	return math.NaN()
}

func (r *Results) cells() map[[2]string]float64 {
	cells := make(map[[2]string]float64)
	for _, row := range r.Rows {
		for i, v := range row.Values {
			cells[[2]string{row.Name, r.Columns[i]}] = v
		}
	}
	return cells
}

// Latencies is a histogram of durations from 0.1 ms to 10 minutes.
type Latencies struct{ histogram *hdrhistogram.Histogram }

const (
	latencyUnit   = 100 * time.Microsecond
	latencyMost   = 10 * time.Minute
	latencyDigits = 3
)

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hdrhistogram.New(1, int64(latencyMost/latencyUnit), latencyDigits)}
}

// Record adds a duration; longer ones than 10 minutes count as that.
func (l *Latencies) Record(d time.Duration) {
	_ = l.histogram.RecordValue(int64(min(d, latencyMost) / latencyUnit)) // in range by the minimum
}

// Count returns the number of durations.
func (l *Latencies) Count() int64 { return l.histogram.TotalCount() }

// Ms returns the percentile in milliseconds.
func (l *Latencies) Ms(percentile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percentile)) * float64(latencyUnit) / float64(time.Millisecond)
}
