package limits

import (
	"net/netip"
	"syscall"
)

const (
	// memoryPart is the part of a VM's memory for the bytes that are held for peers. The
	// rest is for the process itself, the connections, and the garbage collector, whose
	// heap may take up to half as much again as what is in use.
	memoryPart = 0.25
	// bytesPerConnection is the memory of an idle connection: its goroutine, its buffers and
	// the kernel's. connectionsPart is the part of the VM's memory for it.
	bytesPerConnection = 32 << 10
	connectionsPart    = 0.25
	// maxReservedFiles descriptors, or reservedPart of all if these are fewer, are left for
	// files.
	maxReservedFiles = 200
	reservedPart     = 1.0 / 8
	// callersPart, internalPart and the rest divide the sockets among the callers'
	// connections, those of each internal listener, and the process's own connections.
	callersPart  = 1.0 / 2
	internalPart = 1.0 / 16
)

// Sizes are the bounds of a process that follow from its VM. 0 means no bound.
type Sizes struct {
	// MemoryBytes is the size of the process's Memory.
	MemoryBytes int64
	// Callers is the number of connections of the listener for callers, Internal that of
	// each other listener.
	Callers, Internal int
}

// SizesFor returns the bounds of a process that is ended beyond memoryMB (2^20 bytes, 0 for
// no bound) and may open fileDescriptors, 0 for as many as the operating system allows.
func SizesFor(memoryMB, fileDescriptors int) Sizes {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err == nil && allowed.Cur < unlimitedDescriptors {
		if n := int(allowed.Cur); fileDescriptors <= 0 || n < fileDescriptors {
			fileDescriptors = n
		}
	}
	return sizesFor(memoryMB, fileDescriptors)
}

// unlimitedDescriptors is a limit of the operating system that is taken as none.
const unlimitedDescriptors = 1 << 20

func sizesFor(memoryMB, descriptors int) Sizes {
	memory := float64(memoryMB) * (1 << 20)
	s := Sizes{MemoryBytes: int64(memory * memoryPart)}
	if descriptors > 0 {
		sockets := descriptors - min(maxReservedFiles, int(float64(descriptors)*reservedPart))
		s.Callers, s.Internal = int(float64(sockets)*callersPart), max(1, int(float64(sockets)*internalPart))
	}
	if n := int(memory * connectionsPart / bytesPerConnection); memoryMB > 0 && (s.Callers == 0 || n < s.Callers) {
		s.Callers = max(1, n)
	}
	return s
}

// Host returns the IP address of an IP:port, or the text itself if it is none.
func Host(addr string) string {
	if ap, err := netip.ParseAddrPort(addr); err == nil {
		return ap.Addr().Unmap().String()
	}
	return addr
}
