// Package zonemove measures service while an availability zone is taken out
// and brought back: an in-process system in three zones under load, with the
// store up or down, a frozen agent, or an entry that restarts meanwhile.
package zonemove
