package reference

import (
	"fmt"
	"os"
	"path/filepath"
)

// Pages returns the content of each generated page by file name. Source is the directory of package object.
func Pages(source string) (map[string]string, error) {
	configuration, err := Configuration(filepath.Join(source, "object.go"))
	if err != nil {
		return nil, err
	}
	return map[string]string{
		"configuration.md": configuration,
		"result-codes.md":  ResultCodes(),
		"settings.md":      Settings(),
	}, nil
}

// Write writes the generated pages into a directory.
func Write(dir, source string) error {
	pages, err := Pages(source)
	if err != nil {
		return err
	}
	for name, text := range pages {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return fmt.Errorf("reference: %w", err)
		}
	}
	return nil
}
