package gladerecord

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	defaultRequests  = 4096
	defaultPerRecord = 256
)

// Entry is one event or decision during the handling of a request.
type Entry struct {
	At        time.Time `json:"at"`
	VM        string    `json:"vm"`
	Component string    `json:"part"`
	Event     string    `json:"event"`
	Reason    string    `json:"reason,omitempty"`
}

// Record holds the entries of one request on one VM.
type Record struct {
	Request string  `json:"request"`
	Entries []Entry `json:"entries"`
	// Dropped counts the entries left out because the record was full.
	Dropped int `json:"dropped,omitempty"`
}

// Config configures a Recorder.
type Config struct {
	// VM is the name of this VM in all entries.
	VM string
	// Requests bounds the number of records. Zero means 4096.
	Requests int
	// PerRecord bounds the number of entries in one record. Zero means 256.
	PerRecord int
}

// Recorder keeps the records of the most recent requests. Add and Get on a nil Recorder do nothing.
type Recorder struct {
	config  Config
	mu      sync.Mutex
	records *lru.Cache[string, *Record]
}

// New returns an empty Recorder.
func New(c Config) (*Recorder, error) {
	if c.Requests == 0 {
		c.Requests = defaultRequests
	}
	if c.PerRecord == 0 {
		c.PerRecord = defaultPerRecord
	}
	records, err := lru.New[string, *Record](c.Requests)
	if err != nil {
		return nil, fmt.Errorf("record cache for %d requests: %w", c.Requests, err)
	}
	return &Recorder{config: c, records: records}, nil
}

// Add appends an entry to the record of a request. It counts the entry as dropped if the record is full.
func (r *Recorder) Add(request, part, event, format string, args ...any) {
	if r == nil {
		return
	}
	e := Entry{At: time.Now(), VM: r.config.VM, Component: part, Event: event, Reason: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records.Get(request)
	if !ok {
		record = &Record{Request: request}
		r.records.Add(request, record)
	}
	if len(record.Entries) >= r.config.PerRecord {
		record.Dropped++
		return
	}
	record.Entries = append(record.Entries, e)
}

// Get returns a copy of the record of a request and reports whether there is one.
func (r *Recorder) Get(request string) (Record, bool) {
	if r == nil {
		return Record{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records.Get(request)
	if !ok {
		return Record{}, false
	}
	c := *record
	c.Entries = append([]Entry(nil), record.Entries...)
	return c, true
}

// Len returns the number of records kept, zero on a nil Recorder.
func (r *Recorder) Len() int {
	if r == nil {
		return 0
	}
	return r.records.Len()
}
