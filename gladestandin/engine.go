package gladestandin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeengine"
)

const (
	defaultTokenTime   = 10 * time.Millisecond
	defaultPrefillTime = 50 * time.Microsecond
	defaultMaxBatch    = 64
	defaultOrphanTime  = 30 * time.Second
	// crashDelay lets the bytes that were already written leave before the server of a crashed engine closes.
	crashDelay = time.Millisecond
	// prefillChunk is the largest number of prompt tokens computed in one step.
	prefillChunk = 2048
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// ID is the backend server's identifier in load reports.
	ID string
	// Incarnation is the incarnation in load reports.
	Incarnation string
	// TokenTime is the duration of a decoding step with one stream; zero means 10 ms.
	TokenTime time.Duration
	// BatchTime is the time that each further decoding stream adds to a step.
	BatchTime time.Duration
	// PrefillTime is the time to compute one prompt token that is not cached; zero means 50 µs.
	PrefillTime time.Duration
	// MaxBatch is the largest number of running streams; zero means 64. Further streams wait in order of priority.
	MaxBatch int
	// CacheBlocks is the capacity of the prefix cache in blocks of BlockTokens tokens; zero means 4096.
	CacheBlocks int
	// OrphanTime is the time after which a stream without a reader is cancelled; zero means 30 s.
	OrphanTime time.Duration
	// EventTokens is the number of tokens in one event; zero means 1.
	EventTokens int
	// Plain disables re-attach, cancel and the sequence numbers of events, and cancels a stream on disconnect.
	Plain bool
	// NoTokenIDs omits token identifiers from events, which then hold text only.
	NoTokenIDs bool
	// PartialText makes the text of some tokens empty and that of others half a character; see PartialTokenText.
	PartialText bool
	// Targets are the targets whose weights are ready; empty means that every target is accepted.
	Targets []string
	// LoadLag is the minimum age of the load reports that /load returns.
	LoadLag time.Duration
	// LoadDrop is the probability, from 0 to 1, that /load returns an error instead of a report.
	LoadDrop float64
	// LoadSeed seeds the random choices for LoadDrop.
	LoadSeed uint64
	// Crash is called after a fault has ended the engine, if set; it closes the engine's server.
	Crash func()
}

// Engine simulates a model engine. Its tokens are a pure function of the target, the seed and all earlier tokens.
type Engine struct {
	config EngineConfig
	mux    *http.ServeMux

	mu          sync.Mutex
	streams     map[string]*engineStream
	waiting     []*engineStream
	running     []*engineStream
	cache       *prefixCache
	targets     map[string]bool
	orders      engineOrders
	counts      EngineCounts
	faults      Faults
	loadHistory loadHistory
	// gate is set during a pause and closed at its end.
	gate       chan struct{}
	stepping   bool
	dead       bool
	terminated chan struct{}
	tasks      sync.WaitGroup
}

// EngineCounts counts the work of an engine since its start.
type EngineCounts struct {
	Requests int `json:"requests"`
	// PrefillTokens is the number of prompt tokens that were computed.
	PrefillTokens int `json:"prefillTokens"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cachedTokens"`
	// RecomputedTokens is the part of PrefillTokens that belongs to second and later attempts.
	RecomputedTokens int `json:"recomputedTokens"`
	Tokens           int `json:"tokens"`
	Cancelled        int `json:"cancelled"`
	Attached         int `json:"attached"`
}

// NewEngine returns an engine. The caller closes it with Close.
func NewEngine(c EngineConfig) *Engine {
	setDefault(&c.TokenTime, defaultTokenTime)
	setDefault(&c.PrefillTime, defaultPrefillTime)
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.OrphanTime, defaultOrphanTime)
	setDefault(&c.EventTokens, 1)
	e := &Engine{
		config:     c,
		mux:        http.NewServeMux(),
		streams:    map[string]*engineStream{},
		cache:      newPrefixCache(c.CacheBlocks),
		terminated: make(chan struct{}),
	}
	for _, target := range c.Targets {
		e.SetReady(target, true)
	}
	e.route()
	return e
}

func (e *Engine) route() {
	e.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("POST /tokenize", e.serveTokenize)
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /v1/models", e.serveModels)
	e.routeOrders()
	if e.config.Plain {
		return
	}
	e.mux.HandleFunc("GET /v1/completions/{id}", e.serveAttach)
	e.mux.HandleFunc("POST /v1/completions/{id}/cancel", e.serveCancel)
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// ServeHTTP serves the engine API and POST /faults. A pause delays all requests but POST /faults.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" && r.Method == http.MethodPost {
		e.serveFaults(w, r)
		return
	}
	e.awaitResume(r)
	e.mux.ServeHTTP(w, r)
}

// awaitResume waits for the end of a pause. It aborts the connection if the engine has ended or the request is
// cancelled.
func (e *Engine) awaitResume(r *http.Request) {
	for {
		e.mu.Lock()
		gate := e.gate
		dead := e.dead
		e.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		if gate == nil {
			return
		}
		select {
		case <-gate:
		case <-e.terminated:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// Close stops the engine, aborts its streams and waits for its goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.terminate()
	e.mu.Unlock()
	e.tasks.Wait()
}

func (e *Engine) terminate() {
	if e.dead {
		return
	}
	e.dead = true
	close(e.terminated)
}

// crash ends the engine by a fault and calls Crash after crashDelay.
func (e *Engine) crash() {
	e.terminate()
	if e.config.Crash != nil {
		time.AfterFunc(crashDelay, e.config.Crash)
	}
}

// Dead reports whether the engine has been closed or has crashed.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// Counts returns the counts of the engine's work.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// ActiveStreams returns the number of running and waiting streams.
func (e *Engine) ActiveStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// SetReady sets whether the weights of a target are loaded. After the first call the engine accepts only ready targets.
func (e *Engine) SetReady(target string, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.targets == nil {
		e.targets = map[string]bool{}
	}
	if ready {
		e.targets[target] = true
		return
	}
	delete(e.targets, target)
}

// Targets returns the targets whose weights are ready.
func (e *Engine) Targets() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.targets))
}

// ready reports whether a target can run. The caller holds e.mu.
func (e *Engine) ready(target string) bool {
	return e.targets == nil || e.targets[target]
}

// engineModels is the body of the response to GET /v1/models.
type engineModels struct {
	Object string        `json:"object"`
	Data   []engineModel `json:"data"`
}

type engineModel struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := engineModels{Object: "list", Data: []engineModel{}}
	for _, target := range e.Targets() {
		list.Data = append(list.Data, engineModel{ID: target, Object: "model"})
	}
	writeJSON(w, list)
}

func (e *Engine) serveTokenize(w http.ResponseWriter, r *http.Request) {
	var q gladeengine.TokenizeRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text := q.Prompt
	if len(q.Messages) > 0 {
		text = string(q.Messages)
	}
	ids := Tokenize(text)
	answer := gladeengine.TokenizeResponse{Count: len(ids), Tokens: ids}
	if q.ReturnTokenStrs {
		answer.TokenStrs = strings.Fields(text)
	}
	writeJSON(w, answer)
}
