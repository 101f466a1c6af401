// Package intake applies package limits to the daemons of the own form of deployment: it
// derives the bounds from the settings of a node, keeps them for the requests and
// connections of its servers, and counts and logs what is refused or ended.
package intake
