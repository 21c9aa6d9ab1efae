package gladememory

const (
	// DefaultMemory is the memory limit, in bytes, where the settings name none.  It is that of the smallest VMs in use.
	DefaultMemory = 120e6
	// DefaultDescriptors is the limit on open descriptors where the settings name none.  It is that of the smallest VMs in use.
	DefaultDescriptors = 2870
	// SmallBytes is the size up to which a request, with its header and its answer, does not compete with large ones.
	SmallBytes = 32 << 10

	// processBytes is the memory of the process without callers: program, release, servers, other VMs.
	processBytes = 40e6
	// minRoomBytes is the least memory for callers: one body and its answer, with the buffers from which they have grown.
	minRoomBytes = 24 << 20
	// connectionBytes is the memory of a connection: its read buffer, the stack of its goroutine and its state, and the kernel's part.
	connectionBytes = 32 << 10
	// runtimeShare is the part of the memory limit that the Go runtime may use.  The program's text and the kernel's buffers are not
	// the runtime's, and the heap may exceed the runtime's limit for a moment.
	runtimeShare = 0.65
	// garbageFactor is the memory that the heap needs for each byte in use.
	garbageFactor = 2
	// Of the memory for callers, one part in connectionPart is for connections, one in smallPart for small requests, and the rest for
	// large ones.
	connectionPart, smallPart = 4, 8
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// callerPart is the part of the other descriptors that callers' connections may use: one in callerPart.  A request needs one more
	// for its server, and sometimes one for a second server; the rest is for the store, other VMs and probes.
	callerPart = 3
	// idleServerPart is the part that idle connections to servers may use.
	idleServerPart = 8
	// minConnections is the least number of callers' connections, and of idle connections to servers.
	minConnections = 16
)

// Limits are the bounds on what callers may occupy.
type Limits struct {
	// Runtime is the memory limit of the Go runtime, in bytes.
	Runtime int64
	// Large and Small are the memory for large and for small requests, in bytes.
	Large, Small int64
	// Connections is the number of callers' connections.
	Connections int
	// IdleServerConnections is the number of idle connections to servers.
	IdleServerConnections int
}

// Derive returns the limits of a process that may use the given memory, in bytes, and number of descriptors; zero means the default.
func Derive(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	room := max(minRoomBytes, (memory-processBytes)/garbageFactor)
	sockets := descriptors - reservedDescriptors
	byMemory := int(room / connectionPart / connectionBytes)
	return Limits{
		Runtime: int64(runtimeShare * float64(memory)), Small: room / smallPart, Large: room - room/connectionPart - room/smallPart,
		Connections: max(minConnections, min(sockets/callerPart, byMemory)), IdleServerConnections: max(minConnections, sockets/idleServerPart),
	}
}
