package gladekernel

import (
	"context"
	"slices"
	"sync"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

// Errors of Provide and Lookup.
var (
	// ErrNotFound means that no service is registered under the name.
	ErrNotFound = eris.New("service not found")
	// ErrWrongType means that the service under the name is not of the requested type.
	ErrWrongType = eris.New("service has another type")
	// ErrDuplicate means that a service is already registered under the name.
	ErrDuplicate = eris.New("service name is taken")
)

// Kernel holds the services and actors of one process. Its zero value is ready to use.
type Kernel struct {
	mu       sync.Mutex
	services map[string]any
	names    []string
	dumps    map[string]func() any
	closers  []func()
	group    run.Group
}

// Provide registers a service under a name. A name that is in use gives ErrDuplicate.
func (k *Kernel) Provide(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return eris.Wrapf(ErrDuplicate, "service %q", name)
	}
	if k.services == nil {
		k.services = map[string]any{}
	}
	k.services[name] = service
	k.names = append(k.names, name)
	return nil
}

// Lookup returns the service of type T that is registered under a name. Its errors are ErrNotFound and ErrWrongType.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.services[name]
	if !ok {
		return zero, eris.Wrapf(ErrNotFound, "service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, eris.Wrapf(ErrWrongType, "service %q is a %T", name, s)
	}
	return t, nil
}

// Names returns the names of all services in the order of registration.
func (k *Kernel) Names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.names)
}

// AddActor adds an actor. The function execute must return after interrupt is called.
func (k *Kernel) AddActor(execute func() error, interrupt func(error)) {
	k.group.Add(execute, interrupt)
}

// OnClose adds a clean-up function. Clean-up functions run after all actors have ended, last added first.
func (k *Kernel) OnClose(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closers = append(k.closers, f)
}

// OnDump adds a function that returns the named part of the state dump.
func (k *Kernel) OnDump(name string, f func() any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dumps == nil {
		k.dumps = map[string]func() any{}
	}
	k.dumps[name] = f
}

// Dump returns the state dump, by name of the part.
func (k *Kernel) Dump() map[string]any {
	k.mu.Lock()
	dumps := make(map[string]func() any, len(k.dumps))
	for name, f := range k.dumps {
		dumps[name] = f
	}
	k.mu.Unlock()
	state := make(map[string]any, len(dumps))
	for name, f := range dumps {
		state[name] = f()
	}
	return state
}

// Run runs all actors until one ends or ctx is done. It then interrupts the others and calls Close.
func (k *Kernel) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.group.Add(
		func() error {
			<-ctx.Done()
			return nil
		},
		func(error) { cancel() },
	)
	err := k.group.Run()
	k.Close()
	return err
}

// Close runs the clean-up functions, last added first, each once.
func (k *Kernel) Close() {
	k.mu.Lock()
	closers := k.closers
	k.closers = nil
	k.mu.Unlock()
	for _, f := range slices.Backward(closers) {
		f()
	}
}
