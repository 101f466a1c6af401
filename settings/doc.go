// Package settings defines the JSON settings of the daemons, decodes them strictly
// (unknown fields are errors) and validates them before a daemon starts.
package settings
