package config

import "landingpaddle/internal/sexpr"

// Load reads a settings file that holds exactly one form with the given head into out, a pointer to a struct
// that holds the defaults. A file that cannot be opened gives an *fs.PathError, an error in its text a
// *sexpr.Error.
func Load(path, head string, out any) error {
	nodes, err := sexpr.ReadTree(path)
	if err != nil {
		return err
	}
	return sexpr.DecodeOne(nodes, path, head, out)
}
