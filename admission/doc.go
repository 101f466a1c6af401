// Package admission decides, when the requests of a service compete for too little room,
// which one goes next, how much room a request may use, which one can't be served in time
// any more, and when a refused caller should return. It has no network and no clock of its
// own: each call gets the time.
//
// All state is that of one entry, learned from the requests that it sees itself.
package admission
