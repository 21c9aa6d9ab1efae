package gladenote

import "time"

// Note is one release note, which describes one complete change.
type Note struct {
	// Number is assigned when the note is accepted.
	Number int64 `json:"number" toml:"number,omitempty"`
	// Base is the number of the newest note when this one was written.
	Base   int64  `json:"base" toml:"base"`
	Author string `json:"author" toml:"author"`
	Title  string `json:"title" toml:"title"`
	// Nonce identifies the note when it is submitted again.
	Nonce string `json:"nonce,omitempty" toml:"nonce,omitempty"`
	// Accepted is the time of acceptance.
	Accepted time.Time `json:"accepted,omitzero" toml:"accepted,omitempty"`

	Added     Content   `json:"added,omitzero" toml:"added,omitempty"`
	Changed   Content   `json:"changed,omitzero" toml:"changed,omitempty"`
	Withdrawn Withdrawn `json:"withdrawn,omitzero" toml:"withdrawn,omitempty"`
}

// Content lists the items that a note adds or changes.
type Content struct {
	Models        []Model        `json:"models,omitempty" toml:"models,omitempty"`
	Adapters      []Adapter      `json:"adapters,omitempty" toml:"adapters,omitempty"`
	Versions      []Version      `json:"versions,omitempty" toml:"versions,omitempty"`
	Routes        []Route        `json:"routes,omitempty" toml:"routes,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty" toml:"organisations,omitempty"`
}

// Withdrawn lists the names of the items that a note withdraws.
type Withdrawn struct {
	Models        []string     `json:"models,omitempty" toml:"models,omitempty"`
	Adapters      []string     `json:"adapters,omitempty" toml:"adapters,omitempty"`
	Versions      []VersionRef `json:"versions,omitempty" toml:"versions,omitempty"`
	Routes        []string     `json:"routes,omitempty" toml:"routes,omitempty"`
	Organisations []string     `json:"organisations,omitempty" toml:"organisations,omitempty"`
}

// Model is a family of weights that a pool of engines serves.
type Model struct {
	Name string `json:"name" toml:"name"`
	// Pool is the deployment whose engines serve the model.
	Pool string `json:"pool" toml:"pool"`
	// DefaultVersion is the version for requests that do not specify one.
	DefaultVersion string `json:"defaultVersion" toml:"defaultVersion"`
	// Context is the largest total of prompt tokens and generated tokens.
	Context int `json:"context" toml:"context"`
	// MaxTokens is the default and the upper limit of max_tokens.
	MaxTokens int `json:"maxTokens" toml:"maxTokens"`
	// ChecksFencing reports whether the pool's engines refuse orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing" toml:"checksFencing"`
}

// Version is one set of weights of a model.
type Version struct {
	Model   string `json:"model" toml:"model"`
	Name    string `json:"name" toml:"name"`
	Weights string `json:"weights" toml:"weights"`
	// Replicas is the number of engines per failure domain that hold the version; zero means all.
	Replicas int `json:"replicas,omitempty" toml:"replicas,omitempty"`
}

// VersionRef identifies a version by its model and name.
type VersionRef struct {
	Model string `json:"model" toml:"model"`
	Name  string `json:"name" toml:"name"`
}

// Adapter is a small set of weights on top of a model. Requests select it by its name, in place of a model's.
type Adapter struct {
	Name  string `json:"name" toml:"name"`
	Model string `json:"model" toml:"model"`
	// Version is the adapter's own version, which changes with its weights.
	Version string `json:"version" toml:"version"`
	Weights string `json:"weights" toml:"weights"`
}

// Route maps a route name to a pool of plain services.
type Route struct {
	Name       string `json:"name" toml:"name"`
	Pool       string `json:"pool" toml:"pool"`
	Idempotent bool   `json:"idempotent" toml:"idempotent"`
	// TimeoutMillis is the time after which an answer is of no use, in milliseconds.
	TimeoutMillis int `json:"timeoutMillis" toml:"timeoutMillis"`
	// Hedge allows a second copy of a slow call; the route must be idempotent.
	Hedge bool `json:"hedge,omitempty" toml:"hedge,omitempty"`
}

// Organisation is a customer with its API keys and limits; a limit of zero means no limit.
type Organisation struct {
	Name string `json:"name" toml:"name"`
	// KeyHashes are the hexadecimal SHA-256 hashes of its API keys.
	KeyHashes         []string `json:"keyHashes" toml:"keyHashes"`
	RequestsPerSecond float64  `json:"requestsPerSecond,omitempty" toml:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64  `json:"tokensPerSecond,omitempty" toml:"tokensPerSecond,omitempty"`
	Concurrent        int      `json:"concurrent,omitempty" toml:"concurrent,omitempty"`
	// Priority is passed to engines; a lower value is served first.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
}
