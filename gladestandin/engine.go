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
	crashDelay         = time.Millisecond
	// prefillChunk is the most prompt tokens that one step computes.
	prefillChunk = 2048
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID          string
	Incarnation string
	// TokenTime is the time from one token to the next with one stream; zero means 10 ms.
	TokenTime time.Duration
	// BatchTime is added to TokenTime for each further stream.
	BatchTime time.Duration
	// PrefillTime is the time for one uncached prompt token; zero means 50 µs.
	PrefillTime time.Duration
	// MaxBatch is the number of streams that run at once, the rest wait by priority; zero means 64.
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens tokens; zero means 4096.
	CacheBlocks int
	// OrphanTime is how long a stream runs on without a reader; zero means 30 s.
	OrphanTime time.Duration
	// EventTokens is the number of tokens in one event; zero means 1.
	EventTokens int
	// Plain is an engine that aborts on disconnect, numbers no events and knows neither re-attach nor cancel.
	Plain bool
	// NoTokenIDs is an engine that sends text only.
	NoTokenIDs bool
	// OddText gives some tokens no text and others half a character.
	OddText bool
	// Targets are the weights that are ready; nil means any.
	Targets []string
	// LoadLag is the age of the load reports that /load shows, LoadDrop the share of those that are lost, drawn from LoadSeed.
	LoadLag  time.Duration
	LoadDrop float64
	LoadSeed uint64
	// Crash closes the server of an engine that dies of a fault, if set.
	Crash func()
}

// Engine is a model engine whose tokens are a pure function of target, seed and all tokens before.
type Engine struct {
	config EngineConfig
	mux    *http.ServeMux

	mu      sync.Mutex
	streams map[string]*engineStream
	waiting []*engineStream
	running []*engineStream
	cache   *prefixCache
	targets map[string]bool
	orders  engineOrders
	counts  EngineCounts
	faults  Faults
	loads   loadHistory
	// gate is closed at the end of a pause.
	gate     chan struct{}
	stepping bool
	dead     bool
	died     chan struct{}
	tasks    sync.WaitGroup
}

// EngineCounts is what an engine has done since it started.
type EngineCounts struct {
	Requests int `json:"requests"`
	// PrefillTokens and CachedTokens are the prompt tokens that were computed and that the cache held.
	PrefillTokens int `json:"prefillTokens"`
	CachedTokens  int `json:"cachedTokens"`
	// RecomputedTokens are the PrefillTokens of second and later attempts.
	RecomputedTokens int `json:"recomputedTokens"`
	Tokens           int `json:"tokens"`
	Cancelled        int `json:"cancelled"`
	Attached         int `json:"attached"`
}

// NewEngine returns an engine.
func NewEngine(c EngineConfig) *Engine {
	setDefault(&c.TokenTime, defaultTokenTime)
	setDefault(&c.PrefillTime, defaultPrefillTime)
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.OrphanTime, defaultOrphanTime)
	setDefault(&c.EventTokens, 1)
	e := &Engine{
		config:  c,
		mux:     http.NewServeMux(),
		streams: map[string]*engineStream{},
		cache:   newPrefixCache(c.CacheBlocks),
		died:    make(chan struct{}),
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

// ServeHTTP answers the engine API, and POST /faults even while paused.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" && r.Method == http.MethodPost {
		e.serveFaults(w, r)
		return
	}
	e.hold(r)
	e.mux.ServeHTTP(w, r)
}

// hold waits out a pause and ends the connection if the engine or the request has died.
func (e *Engine) hold(r *http.Request) {
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
		case <-e.died:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// Close ends the engine and all its streams without notice.
func (e *Engine) Close() {
	e.mu.Lock()
	e.end()
	e.mu.Unlock()
	e.tasks.Wait()
}

func (e *Engine) end() {
	if e.dead {
		return
	}
	e.dead = true
	close(e.died)
}

// die is a death by a fault, after which the server closes as soon as what was sent is on its way.
func (e *Engine) die() {
	e.end()
	if e.config.Crash != nil {
		time.AfterFunc(crashDelay, e.config.Crash)
	}
}

// Dead reports whether the engine has ended.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// Counts returns what the engine has done.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Running returns the number of streams that run or wait.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// SetReady says whether the weights of a target are loaded; the first call ends the acceptance of any target.
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

// ready reports whether a target can run; the caller holds the lock.
func (e *Engine) ready(target string) bool {
	return e.targets == nil || e.targets[target]
}

// engineModels is the answer of GET /v1/models.
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
