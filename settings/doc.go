// Package settings defines the JSON settings of the daemons, reads them
// strictly and checks them before a daemon starts.
package settings
