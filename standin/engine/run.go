package engine

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// run is one execution of a request. The Engine's lock guards it.
type run struct {
	id      string
	chat    bool
	request request
	prompt  int      // tokens of the prompt
	cached  int      // of these, tokens found in the prefix cache
	hashes  []string // blocks of the prompt
	words   []string // the whole answer
	created int64    // seconds since 1970

	produced  int // words emitted so far
	events    [][]byte
	ended     bool
	endedAt   time.Time
	cancelled bool
	changed   chan struct{} // closed and replaced when the run emits or ends
}

func newRun(id string, chat bool, r request, options Options, now time.Time) *run {
	tokens := r.tokens()
	return &run{
		id:      id,
		chat:    chat,
		request: r,
		prompt:  len(tokens),
		hashes:  BlockHashes(r.Model, tokens, options.BlockTokens),
		words:   AnswerWords(tokens, r.answerTokens(options.DefaultTokens)),
		created: now.Unix(),
		changed: make(chan struct{}),
	}
}

// blocks returns the KV blocks that the sequence occupies.
func (r *run) blocks(blockTokens int) int {
	return (r.prompt + r.produced + blockTokens - 1) / blockTokens
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// step emits the next word. After the last one it emits the usage and the end.
func (r *run) step(now time.Time) {
	r.emit(r.chunk(r.produced))
	r.produced++
	if r.produced == len(r.words) {
		r.emit(r.usageChunk())
		r.emit([]byte("[DONE]"))
		r.end(now)
	}
	r.notify()
}

func (r *run) end(now time.Time) {
	r.ended = true
	r.endedAt = now
}

func (r *run) emit(data []byte) {
	r.events = append(r.events, fmt.Appendf(nil, "id: %s/%d\ndata: %s\n\n", r.id, len(r.events), data))
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *run) encode(object string, choices []choice, u *usage) []byte {
	data, err := json.Marshal(answer{
		ID: r.id, Object: object, Created: r.created, Model: r.request.Model, Choices: choices, Usage: u,
	})
	if err != nil {
		panic(err) // the type holds nothing that cannot be encoded
	}
	return data
}

func (r *run) usage() *usage {
	return &usage{
		PromptTokens:     r.prompt,
		CompletionTokens: r.produced,
		TotalTokens:      r.prompt + r.produced,
		Details:          usageDetails{CachedTokens: r.cached},
	}
}

func (r *run) chunk(i int) []byte {
	text := r.words[i]
	if i > 0 {
		text = " " + text
	}
	c := choice{}
	if i == len(r.words)-1 {
		c.FinishReason = new("length")
	}
	if !r.chat {
		c.Text = &text
		return r.encode("text_completion", []choice{c}, nil)
	}
	c.Delta = &content{Content: text}
	if i == 0 {
		c.Delta.Role = "assistant"
	}
	return r.encode("chat.completion.chunk", []choice{c}, nil)
}

func (r *run) usageChunk() []byte {
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
	}
	return r.encode(object, []choice{}, r.usage())
}

// whole returns the answer to a request that did not ask for a stream.
func (r *run) whole() []byte {
	text := strings.Join(r.words, " ")
	c := choice{FinishReason: new("length")}
	if !r.chat {
		c.Text = &text
		return r.encode("text_completion", []choice{c}, r.usage())
	}
	c.Message = &content{Role: "assistant", Content: text}
	return r.encode("chat.completion", []choice{c}, r.usage())
}
