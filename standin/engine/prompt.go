package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// blockHashBytes is the length of a block hash before hexadecimal encoding.
const blockHashBytes = 8

// vocabulary holds the words of which answers are made.
var vocabulary = strings.Fields(`lamp socket fuse shade wire switch bulb base solder clamp ceramic brass test replace tighten
clean check before after with without safe live earth ready quote part hour stage curtain evening matinee ticket`)

// request is the part of an OpenAI-compatible request that the stand-in understands.
type request struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of max_tokens.
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Messages            []message `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content of a message, which is a string or a list of parts.
func (m message) text() string {
	var plain string
	if json.Unmarshal(m.Content, &plain) == nil {
		return plain
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return string(m.Content)
	}
	var texts []string
	for _, p := range parts {
		texts = append(texts, p.Text)
	}
	return strings.Join(texts, " ")
}

func parseRequest(body []byte) (request, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return request{}, fmt.Errorf("request body: %w", err)
	}
	if r.Model == "" {
		return request{}, fmt.Errorf("request body: field %q is missing", "model")
	}
	return r, nil
}

// tokens returns the prompt as words.
func (r request) tokens() []string {
	words := strings.Fields(r.Prompt)
	for _, m := range r.Messages {
		words = append(words, m.Role+":")
		words = append(words, strings.Fields(m.text())...)
	}
	return words
}

// answerTokens returns the length of the answer.
func (r request) answerTokens(byDefault int) int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return byDefault
}

// AnswerWords returns the answer to a prompt of the given tokens: n words that depend on nothing else.
func AnswerWords(tokens []string, n int) []string {
	sum := sha256.Sum256([]byte(strings.Join(tokens, " ")))
	random := rand.New(rand.NewPCG(binary.BigEndian.Uint64(sum[:]), 0))
	words := make([]string, n)
	for i := range words {
		words[i] = vocabulary[random.IntN(len(vocabulary))]
	}
	return words
}

// BlockHashes returns the hash of each full block of a prompt. A hash covers the model's name as requested and all tokens up to
// the end of the block: the first 8 bytes of SHA-256 over the previous hash (or the model), a newline and the block's tokens
// joined by spaces, in hexadecimal.
func BlockHashes(model string, tokens []string, blockTokens int) []string {
	previous := model
	var hashes []string
	for len(tokens) >= blockTokens {
		sum := sha256.Sum256([]byte(previous + "\n" + strings.Join(tokens[:blockTokens], " ")))
		previous = hex.EncodeToString(sum[:blockHashBytes])
		hashes = append(hashes, previous)
		tokens = tokens[blockTokens:]
	}
	return hashes
}
