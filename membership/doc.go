// Package membership keeps the table of known nodes. A record is replaced by one
// with a higher incarnation or, within an incarnation, a higher sequence number.
// An update counter serves as a cursor, so that two peers exchange only the
// changes since their previous exchange. A Table is not safe for concurrent use;
// it is used by the control loop's goroutine only.
package membership
