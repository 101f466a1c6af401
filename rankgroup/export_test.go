package rankgroup

// For tests outside the package, which use the stand-in of the ranks.
const (
	SwitchTime = switchTime
)

var Pause = pause
