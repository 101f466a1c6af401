// Package enginesim simulates a model engine. It speaks the OpenAI completions
// protocol, batches continuously, caches prompt prefixes in limited memory,
// starts cold, and crashes when it is overloaded while cold.
package enginesim
