package bbtstandin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// charsPerToken approximates tokenization by a fixed number of characters per token.
const charsPerToken = 4

// CompletionRecord is the body of a completion request.
type CompletionRecord struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// LoadRecord is the load report that an endpoint publishes.
type LoadRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Slots       int    `json:"slots"`
	Served      int    `json:"served"` // requests this incarnation has finished
}

// Engine is a stand-in for a model engine. It has a batch of limited size that
// is filled in arrival order without priorities, a bounded prefix cache and delayed
// load reports.
type Engine struct {
	faultInjector
	mux   *http.ServeMux
	speed EngineSpeed
	batch *batch

	mu              sync.Mutex
	cache           *prefixCache
	reported        LoadRecord
	reportedAt      time.Time
	maxFencingToken uint64
	checkFencing    bool
}

// NewEngine returns an engine, which is cold unless speed.InitialServed reaches
// speed.WarmAfter. An order is an instruction from the engine's owner, sent as POST
// /orders. If checkFencing is true the engine rejects orders with a fencing token below
// the highest that it has accepted.
func NewEngine(speed EngineSpeed, checkFencing bool) *Engine {
	e := &Engine{
		mux:          http.NewServeMux(),
		speed:        speed,
		batch:        newBatch(speed, uint64(time.Now().UnixNano())),
		cache:        newPrefixCache(speed.MaxCachedPrefixes),
		checkFencing: checkFencing,
	}
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	e.mux.HandleFunc("PUT /control/fault", e.serveFault)
	e.mux.HandleFunc("GET /control/counts", e.serveCounts)
	return e
}

// ServeHTTP handles completions, reads of the load report, orders and the tests' control requests.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderIncarnation, strconv.FormatUint(e.batch.currentIncarnation(), 10))
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req CompletionRecord
	if !readJSON(w, r, &req) || !e.awaitStart(r) {
		return
	}
	if poison := e.activeFault().Poison; poison != "" && strings.Contains(req.Prompt, poison) {
		e.batch.restart()
		panic(http.ErrAbortHandler)
	}
	inc, ok := e.batch.acquire(r.Context())
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer e.batch.release(inc)
	e.respond(w, r, req, inc)
}

// respond prefills the prompt and sends the tokens.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, req CompletionRecord, inc uint64) {
	if !wait(r, e.scale(e.prefillTime(req.Prompt))) {
		return
	}
	if !req.Stream {
		e.respondJSON(w, r, req, inc)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := resumeFrom(r); i < max(req.MaxTokens, 1); i++ {
		if e.batch.currentIncarnation() != inc || !wait(r, e.scale(e.speed.TokenInterval)) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"text\":\"t%d \"}]}\n\n", i)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if e.activeFault().Truncate {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	e.batch.countFinished(inc)
}

// resumeFrom returns the index of the token from which an interrupted stream resumes.
func resumeFrom(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(HeaderResumeFrom))
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// respondJSON sends all tokens as one JSON object.
func (e *Engine) respondJSON(w http.ResponseWriter, r *http.Request, req CompletionRecord, inc uint64) {
	n := max(req.MaxTokens, 1)
	if !wait(r, e.scale(time.Duration(n)*e.speed.TokenInterval)) || e.batch.currentIncarnation() != inc {
		panic(http.ErrAbortHandler)
	}
	text := strings.Repeat("t ", n)
	writeJSON(w, map[string]any{"choices": []map[string]any{{"index": 0, "text": text}}})
	e.batch.countFinished(inc)
}

// prefillTime returns the prefill time of the prompt's uncached tokens, and caches
// the prompt's prefix.
func (e *Engine) prefillTime(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := len(prompt) - e.cache.lookupOrInsert(prompt)
	tokens := float64(uncached) / charsPerToken
	return time.Duration(tokens / e.speed.PrefillPerSec * float64(time.Second))
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reportedAt) >= e.speed.LoadReportInterval {
		e.reported, e.reportedAt = e.batch.load(), now
	}
	writeJSON(w, e.reported)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.events())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	token := formUint(r, "fencing")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkFencing && token < e.maxFencingToken {
		http.Error(w, "fencing token is below the highest accepted", http.StatusConflict)
		return
	}
	e.maxFencingToken = max(e.maxFencingToken, token)
	writeJSON(w, e.maxFencingToken)
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !readJSON(w, r, &fault) {
		return
	}
	if fault.RestartCold {
		e.batch.restart()
	}
	e.setFault(fault)
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.batch.counts()) }
