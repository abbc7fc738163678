package experiments

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"eelgrassproxy.example/standin/engine"
)

// The load of the experiments. Answers are shorter than the 260 tokens of the design size, so that a virtual minute has thousands of
// requests and costs a few seconds of CPU.
const (
	meanPromptTokens  = 120.0 // words
	sigmaPrompt       = 0.7   // of the logarithm
	mostPromptTokens  = 600
	meanAnswerTokens  = 40.0 // words
	sigmaAnswer       = 0.6  // of the logarithm
	leastAnswerTokens = 4
	mostAnswerTokens  = 200
)

// maxRunning is the batch size of the engines, which the sample bundle states.
const maxRunning = 16

// Load describes an open-loop load.
type Load struct {
	Seed     uint64
	Rate     float64 // requests per second, Poisson arrivals
	Duration time.Duration
	Start    time.Duration // offset of the first interval
	// Prefix returns the words that the i-th prompt starts with; nil means that no prompts share their start.
	Prefix func(random *rand.Rand) []string
}

// Arrival is one request of a load.
type Arrival struct {
	ID     string
	At     time.Duration // since the start of the load
	Prompt []string      // words
	Tokens int           // length of the answer
}

// Arrivals returns the requests in order. The same load has the same requests in every run.
func (l Load) Arrivals() []Arrival {
	random := rand.New(rand.NewPCG(l.Seed, 0))
	var arrivals []Arrival
	for at := l.Start; ; {
		at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= l.Start+l.Duration {
			return arrivals
		}
		a := Arrival{ID: fmt.Sprintf("r%d-%d", l.Seed, len(arrivals)), At: at}
		a.Prompt = l.prompt(random)
		a.Tokens = int(min(max(logNormal(random, meanAnswerTokens, sigmaAnswer), leastAnswerTokens), mostAnswerTokens))
		arrivals = append(arrivals, a)
	}
}

func (l Load) prompt(random *rand.Rand) []string {
	var words []string
	if l.Prefix != nil {
		words = append(words, l.Prefix(random)...)
	}
	own := int(min(max(logNormal(random, meanPromptTokens, sigmaPrompt), 1), mostPromptTokens))
	for range own {
		words = append(words, fmt.Sprintf("w%05d", random.IntN(100_000)))
	}
	return words
}

// logNormal draws from the distribution with the mean and the deviation of the logarithm.
func logNormal(random *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
}

// body returns the chat request of the arrival.
func (a Arrival) body(model string) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		model, a.Tokens, strings.Join(a.Prompt, " "))
}

// expected returns the words of the right answer.
func (a Arrival) expected() []string {
	return engine.AnswerWords(append([]string{"user:"}, a.Prompt...), a.Tokens)
}

// EngineOptions are the engines of the experiments: 66 ms for a step of a full batch, near the 68 ms between tokens of the design size,
// and 242 tokens per second (design size: 180). The token rate keeps a virtual minute of a deployment at a few seconds of real time.
func EngineOptions(loadLag time.Duration) engine.Options {
	o := engine.DefaultOptions()
	o.StepBase = 50 * time.Millisecond
	o.StepPerSequence = time.Millisecond
	o.StepJitter = 2 * time.Millisecond
	o.PrefillPerToken = 100 * time.Microsecond
	o.MaxRunning = maxRunning
	o.LoadLag = loadLag
	return o
}

// Capacity returns the requests per second that the engines serve with full batches and cold prompts.
func Capacity(engines int, o engine.Options) float64 {
	step := o.StepBase + time.Duration(o.MaxRunning)*o.StepPerSequence + o.StepJitter/2
	admitted := float64(o.MaxRunning) / meanAnswerTokens // per step
	prefill := admitted * (meanPromptTokens + 1) * o.PrefillPerToken.Seconds()
	return float64(engines) * admitted / (step.Seconds() + prefill)
}
