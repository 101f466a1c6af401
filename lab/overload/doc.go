// Package overload measures a small deployment, with simulated engines and all
// parts in one process, under loads below and above its capacity.
package overload
