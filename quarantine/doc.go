// Package quarantine keeps requests away from endpoints if a part of their prompt
// crashes each endpoint that begins to answer it.
//
// An endpoint that crashes breaks off all its requests. The part that crashed it is
// in one whose answer had not begun; the other parts of those requests are sound. A
// part is proven sound when an answer to a prompt with it begins anywhere in the
// system, so entries share what they know after each crash. A part that was never
// proven is suspect after its first crash; a proven one after crashes at several moments
// without an answer between them. Of several suspects of a crash, those that were in most
// crashes remain.
//
// Requests with a suspect part are refused. If it is the only suspect of a crash: for a
// minute or more, or, if it was proven before, for a few seconds that double with each
// further crash. Otherwise for about a second. After that, one request at a time tries
// it; entries tell each other when they try the only suspect.
package quarantine
