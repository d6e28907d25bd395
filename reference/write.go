package reference

import (
	"fmt"
	"os"
	"path/filepath"
)

// Pages returns the content of each generated page by file name. The directory of package object's source is objectDir.
func Pages(objectDir string) (map[string]string, error) {
	configuration, err := Configuration(filepath.Join(objectDir, "object.go"))
	if err != nil {
		return nil, err
	}
	return map[string]string{
		"configuration.md": configuration,
		"result-codes.md":  ResultCodes(),
		"settings.md":      Settings(),
	}, nil
}

// Write generates all pages and writes them to the directory dir, replacing older ones. The directory of package object's source
// is objectDir.
func Write(dir, objectDir string) error {
	pages, err := Pages(objectDir)
	if err != nil {
		return err
	}
	for name, text := range pages {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return fmt.Errorf("reference: write page: %w", err)
		}
	}
	return nil
}
