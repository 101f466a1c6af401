// Package share divides limits that hold for all entries together, and callers, among the
// entries. Its decisions need no network and no clock: callers pass the time.
//
// Entries learn of each other from the store at different moments, and some serve on while
// they are missing there. Parts are computed so that their sum stays below the limit all the
// same: an entry counts for some time after its record is gone (Members), a turn is used
// twice only if one of two serving entries doesn't know the other (Ring), and an entry that
// has just started leaves room for what its former run used (Part). Quiet entries lend their
// turns to busy ones (Loan), and callers are sent to entries by what their VMs bear (Named).
package share
