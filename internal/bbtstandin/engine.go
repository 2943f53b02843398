package bbtstandin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// charsPerToken is the stand-in's tokenizer: four characters make a token.
const charsPerToken = 4

// CompletionRecord is a request in the common completions form.
type CompletionRecord struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// LoadRecord is the load an endpoint publishes.
type LoadRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Slots       int    `json:"slots"`
	Served      int    `json:"served"` // requests this incarnation has finished
}

// Engine stands in for a model engine: a batch of limited size, arrival order,
// no priorities, a limited prefix cache and load reports with a lag.
type Engine struct {
	faults
	mux   *http.ServeMux
	speed EngineSpeed
	batch *batch

	mu       sync.Mutex
	cache    *prefixCache
	reported LoadRecord
	reportAt time.Time
	fencing  uint64
	checks   bool
}

// NewEngine returns a cold engine. If checks is true it refuses orders with an
// old fencing number.
func NewEngine(speed EngineSpeed, checks bool) *Engine {
	e := &Engine{
		mux:    http.NewServeMux(),
		speed:  speed,
		batch:  newBatch(speed, uint64(time.Now().UnixNano())),
		cache:  newPrefixCache(speed.MaxCachedPrefixes),
		checks: checks,
	}
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /cache-events", e.serveCache)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	e.mux.HandleFunc("PUT /control/fault", e.serveFault)
	e.mux.HandleFunc("GET /control/counts", e.serveCounts)
	return e
}

// ServeHTTP answers completions, load reads, orders and control calls.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderIncarnation, strconv.FormatUint(e.batch.current(), 10))
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req CompletionRecord
	if !readJSON(w, r, &req) || !e.before(r) {
		return
	}
	if poison := e.get().Poison; poison != "" && strings.Contains(req.Prompt, poison) {
		e.batch.restart()
		panic(http.ErrAbortHandler)
	}
	life, ok := e.batch.enter(r.Context())
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer e.batch.leave(life)
	e.answer(w, r, req, life)
}

// answer prefills the prompt and streams the tokens.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, req CompletionRecord, life uint64) {
	if !wait(r, e.scale(e.prefill(req.Prompt))) {
		return
	}
	if !req.Stream {
		e.answerWhole(w, r, req, life)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := resumeFrom(r); i < max(req.MaxTokens, 1); i++ {
		if e.batch.current() != life || !wait(r, e.scale(e.speed.TokenInterval)) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"text\":\"t%d \"}]}\n\n", i)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if e.get().Truncate {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	e.batch.finished(life)
}

// resumeFrom returns the token from which a broken-off stream goes on.
func resumeFrom(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(HeaderResumeFrom))
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// answerWhole sends all tokens as one JSON object.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, req CompletionRecord, life uint64) {
	n := max(req.MaxTokens, 1)
	if !wait(r, e.scale(time.Duration(n)*e.speed.TokenInterval)) || e.batch.current() != life {
		panic(http.ErrAbortHandler)
	}
	text := strings.Repeat("t ", n)
	writeJSON(w, map[string]any{"choices": []map[string]any{{"index": 0, "text": text}}})
	e.batch.finished(life)
}

// prefill returns the time the prompt's uncached tokens take.
func (e *Engine) prefill(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	fresh := len(prompt) - e.cache.take(prompt)
	tokens := float64(fresh) / charsPerToken
	return time.Duration(tokens / e.speed.PrefillPerSec * float64(time.Second))
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reportAt) >= e.speed.LoadReportInterval {
		e.reported, e.reportAt = e.batch.load(), now
	}
	writeJSON(w, e.reported)
}

func (e *Engine) serveCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.events())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	number := formUint(r, "fencing")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && number < e.fencing {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, number)
	writeJSON(w, e.fencing)
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !readJSON(w, r, &fault) {
		return
	}
	if fault.RestartCold {
		e.batch.restart()
	}
	e.set(fault)
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.batch.counts()) }
