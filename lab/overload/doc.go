// Package overload measures a small system, in one process, under loads below
// and above its capacity.
package overload
