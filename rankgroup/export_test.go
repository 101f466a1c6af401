package rankgroup

// SwitchTime is for tests outside the package, which use the stand-in of the ranks.
const SwitchTime = switchTime
