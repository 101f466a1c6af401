// Package quarantine keeps requests away from endpoints if a part of their prompt
// crashes each endpoint that begins to answer it.
//
// An endpoint that crashes breaks off all its requests. The part that crashed it is
// in one whose answer had not begun; the other parts of those requests are sound. A
// part is proven sound when an answer to a prompt with it begins anywhere in the
// system, so entries share what they know after each crash. A part that was never
// proven is held after its first crash; a proven one after several crashes without an
// answer between them. While a part is held, requests with it are refused. After
// that, one request at a time tries it.
package quarantine
