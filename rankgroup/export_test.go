package rankgroup

// SwitchAttemptTimeout is for tests outside the package, which use simulated ranks.
const SwitchAttemptTimeout = switchAttemptTimeout
