package config

import "landingpaddle/internal/sexpr"

// Load decodes a settings file that must contain exactly one form with the given head into out, a pointer to
// a struct with the defaults. The error is an *fs.PathError if the file cannot be opened, and a *sexpr.Error
// if its text is invalid.
func Load(path, head string, out any) error {
	nodes, err := sexpr.ReadTree(path)
	if err != nil {
		return err
	}
	return sexpr.DecodeOne(nodes, path, head, out)
}
