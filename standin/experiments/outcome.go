package experiments

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Outcome is what a caller got for one request.
type Outcome struct {
	ID         string
	Instance   string
	At         time.Duration // arrival since the start of the load
	FirstToken time.Duration // from arrival; 0 without an answer
	Ended      time.Duration // from arrival
	Status     int           // 0 when no status came
	Code       string        // of the error
	Message    string        // of the error
	NotRun     bool
	Whole      bool // the stream had its normal end
	Told       bool // the stream ended with an error event
	Err        error
	// Violation names what is wrong with the answer: words of another answer, or an incomplete answer told as whole.
	Violation string
	Cached    int // tokens of the prompt that were found in the engine's cache
	Prompt    int // tokens of the prompt
}

// Refused tells whether the request was turned away without being run.
func (o Outcome) Refused() bool { return o.NotRun && o.Status >= 400 }

// Failed tells whether the caller did not get the whole answer.
func (o Outcome) Failed() bool { return !o.Whole }

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Prompt  int `json:"prompt_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		NotRun  bool   `json:"not_run"`
	} `json:"error"`
}

// check compares the stream with the right answer.
func (o *Outcome) check(a Arrival, body []byte) {
	var text strings.Builder
	for line := range bytes.Lines(body) {
		line = bytes.TrimSpace(line)
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case bytes.Equal(line, []byte("event: error")):
			o.Told = true
		case isData && bytes.Equal(data, []byte("[DONE]")):
			o.Whole = true
		case isData && !o.Told:
			o.take(data, &text)
		}
	}
	words, expected := strings.Fields(text.String()), a.expected()
	switch {
	case len(words) > len(expected) || !slices.Equal(words, expected[:len(words)]):
		o.Violation = "wrong answer"
	case o.Whole && len(words) < len(expected):
		o.Violation = "incomplete answer told as whole"
	}
}

func (o *Outcome) take(data []byte, text *strings.Builder) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		o.Violation = "event cannot be decoded"
		return
	}
	for _, choice := range c.Choices {
		text.WriteString(choice.Delta.Content)
	}
	if c.Usage != nil {
		o.Prompt, o.Cached = c.Usage.Prompt, c.Usage.Details.Cached
	}
}

func (o *Outcome) refused(body []byte) {
	var e errorBody
	if json.Unmarshal(body, &e) == nil {
		o.Code, o.Message, o.NotRun = e.Error.Code, e.Error.Message, e.Error.NotRun
	}
}
