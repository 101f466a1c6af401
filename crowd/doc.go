// Package crowd holds tests in which many clients that keep to no limits use a process of
// the users' platform at once: they send large bodies, stop within them, read nothing and
// stay. The tests start real processes on loopback addresses and check what doesn't
// depend on the machine's speed: the process lives, its peak memory and its open
// descriptors stay below the bounds of its VM, and ordinary requests are answered.
package crowd
