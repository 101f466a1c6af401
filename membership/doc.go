// Package membership keeps the table of nodes. A record is replaced by one of
// a later incarnation or sequence; an update counter lets peers exchange only
// what changed since their previous exchange. The table is not safe for
// concurrent use; its owner is the control goroutine.
package membership
