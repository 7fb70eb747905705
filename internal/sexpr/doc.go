// Package sexpr reads, decodes and prints S-expressions, the format of settings files, scenarios,
// fleets and expectations.
//
// Parse and ReadFile parse text into nodes, ReadTree also resolves includes, Decode fills a struct according
// to its fields' tags, and Print writes a struct in the form that Decode reads. Errors in a text are of type
// *Error: they state file, line and column, what was found and what is valid there.
package sexpr
